package org.lockdale.gateway.usage;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts by kind the bytes that a node exchanges with other nodes, the store and backends:
 * datagrams, and the paths and bodies of calls. Requests of callers and their responses are not
 * counted. Thread-safe.
 */
public final class TrafficMeter {

  /**
   * Maximum number of kinds. They are constants of the code or paths of calls, so more would be a
   * bug; further ones are counted together.
   */
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
   * @param path path of the call; its first segment is the kind
   * @param sentBytes length of the body that was sent, in bytes
   * @param receivedBytes length of the body that was received, in bytes
   */
  public void called(String path, long sentBytes, long receivedBytes) {
    String kind = firstSegment(path);
    sent(kind, sentBytes + path.length());
    received(kind, receivedBytes);
  }

  private static String firstSegment(String path) {
    int end = path.indexOf('?');
    String plain = end < 0 ? path : path.substring(0, end);
    int slash = plain.indexOf('/', 1);
    return slash < 0 ? plain.substring(Math.min(1, plain.length())) : plain.substring(1, slash);
  }

  private void add(String name, long count) {
    LongAdder counter = bytes.get(name);
    if (counter == null) {
      String kept = bytes.size() < MAX_KINDS ? name : OTHER;
      counter = bytes.computeIfAbsent(kept, missing -> new LongAdder());
    }
    counter.add(count);
  }

  /** Returns the bytes so far by direction and kind, such as {@code out/RelayHeartbeat}. */
  public Map<String, Long> totals() {
    Map<String, Long> totals = new TreeMap<>();
    bytes.forEach((name, count) -> totals.put(name, count.sum()));
    return totals;
  }
}
