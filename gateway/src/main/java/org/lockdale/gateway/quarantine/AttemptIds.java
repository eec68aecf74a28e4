package org.lockdale.gateway.quarantine;

import java.util.HexFormat;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Creates ids of attempts that no other node or earlier process of this node uses, and that tell
 * which node created them. Safe for use by several threads.
 */
public final class AttemptIds {

  private static final char NODE_SEPARATOR = ':';

  private final String node;
  private final String process =
      HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong()) + "-";
  private final AtomicLong created = new AtomicLong();

  AttemptIds(String node) {
    this.node = node;
  }

  /** Returns a new id. */
  String next() {
    return process + created.incrementAndGet() + NODE_SEPARATOR + node;
  }

  /** Returns whether this process created an id. */
  boolean isOfThisProcess(String id) {
    return id.startsWith(process);
  }

  /** Returns whether this node created an id, in this process or an earlier one. */
  boolean isOfThisNode(String id) {
    return nodeOf(id).equals(node);
  }

  /** Returns the id of the node that created an id; empty if an earlier version created it. */
  public static String nodeOf(String id) {
    return id.substring(id.indexOf(NODE_SEPARATOR) + 1);
  }
}
