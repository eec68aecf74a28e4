package org.lockdale.gateway.usage;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Logs what was used since the last line: one line for processor time and one for bytes. A node
 * that is too slow, or fills its link, can be read from its log without another run. Not safe for
 * use by several threads.
 */
public final class UsageLog {

  private final Supplier<Map<String, Long>> processorTimes;
  private final Supplier<Map<String, Long>> traffic;
  private Map<String, Long> timesBefore = Map.of();
  private Map<String, Long> trafficBefore = Map.of();

  /**
   * Creates a log.
   *
   * @param processorTimes tells milliseconds by thread so far
   * @param traffic tells bytes by kind so far
   */
  public UsageLog(Supplier<Map<String, Long>> processorTimes, Supplier<Map<String, Long>> traffic) {
    this.processorTimes = processorTimes;
    this.traffic = traffic;
  }

  /** Logs what was added since the last call. */
  public void log() {
    Map<String, Long> times = processorTimes.get();
    Map<String, Long> bytes = traffic.get();
    Map<String, Long> usedTimes = since(timesBefore, times);
    Map<String, Long> usedBytes = since(trafficBefore, bytes);
    timesBefore = times;
    trafficBefore = bytes;
    Logger.info("event=processor-time total-ms={} by-thread={}", sum(usedTimes), text(usedTimes));
    Logger.info("event=traffic total-bytes={} by-kind={}", sum(usedBytes), text(usedBytes));
  }

  /** What a thread used that has ended since is not told; its total would fall. */
  static Map<String, Long> since(Map<String, Long> before, Map<String, Long> now) {
    Map<String, Long> added = new TreeMap<>();
    now.forEach(
        (name, total) -> {
          long more = total - before.getOrDefault(name, 0L);
          if (more > 0) {
            added.put(name, more);
          }
        });
    return added;
  }

  private static long sum(Map<String, Long> amounts) {
    return amounts.values().stream().mapToLong(Long::longValue).sum();
  }

  private static String text(Map<String, Long> amounts) {
    StringBuilder text = new StringBuilder();
    amounts.forEach(
        (name, amount) ->
            text.append(text.isEmpty() ? "" : ",").append(name).append(':').append(amount));
    return text.toString();
  }
}
