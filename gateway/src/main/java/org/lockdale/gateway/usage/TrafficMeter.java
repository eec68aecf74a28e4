package org.lockdale.gateway.usage;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the bytes of bodies that a node exchanges with other nodes, the store and back ends beside
 * the requests themselves, by kind. Safe for use by several threads.
 */
public final class TrafficMeter {

  /** Kinds are named in the code or by paths of calls; more than this number would be a fault. */
  private static final int MAX_KINDS = 64;

  private static final String OTHER = "other";

  private final Map<String, LongAdder> bytes = new ConcurrentHashMap<>();

  /** Counts bytes that were sent. */
  public void sent(String kind, long count) {
    add("out/" + kind, count);
  }

  /** Counts bytes that were received. */
  public void received(String kind, long count) {
    add("in/" + kind, count);
  }

  /**
   * Counts a call and its reply.
   *
   * @param path path of the call; its first part is the kind
   */
  public void called(String path, long sentBytes, long receivedBytes) {
    String kind = firstPart(path);
    sent(kind, sentBytes + path.length());
    received(kind, receivedBytes);
  }

  private static String firstPart(String path) {
    int end = path.indexOf('?');
    String plain = end < 0 ? path : path.substring(0, end);
    int slash = plain.indexOf('/', 1);
    return slash < 0 ? plain.substring(Math.min(1, plain.length())) : plain.substring(1, slash);
  }

  private void add(String name, long count) {
    LongAdder known = bytes.get(name);
    if (known == null) {
      String kept = bytes.size() < MAX_KINDS ? name : OTHER;
      known = bytes.computeIfAbsent(kept, missing -> new LongAdder());
    }
    known.add(count);
  }

  /** Returns the bytes so far by direction and kind, such as {@code out/RelayHeartbeat}. */
  public Map<String, Long> totals() {
    Map<String, Long> totals = new TreeMap<>();
    bytes.forEach((name, count) -> totals.put(name, count.sum()));
    return totals;
  }
}
