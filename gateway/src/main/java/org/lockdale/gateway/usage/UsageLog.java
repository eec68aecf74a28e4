package org.lockdale.gateway.usage;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Logs the usage since the previous call: one line for processor time and one for bytes, so that a
 * slow node or a saturated link can be recognized from the log of the node. Not thread-safe.
 */
public final class UsageLog {

  private final Supplier<Map<String, Long>> processorTimes;
  private final Supplier<Map<String, Long>> traffic;
  private Map<String, Long> timesBefore = Map.of();
  private Map<String, Long> trafficBefore = Map.of();

  /**
   * Creates a log.
   *
   * @param processorTimes supplies the total milliseconds by thread
   * @param traffic supplies the total bytes by kind
   */
  public UsageLog(Supplier<Map<String, Long>> processorTimes, Supplier<Map<String, Long>> traffic) {
    this.processorTimes = processorTimes;
    this.traffic = traffic;
  }

  /** Logs the usage since the previous call. */
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

  /**
   * Returns the increases between two readings. Totals that fell, as those of a thread that has
   * ended, are omitted.
   */
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
