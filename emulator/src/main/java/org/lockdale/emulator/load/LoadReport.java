package org.lockdale.emulator.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import org.HdrHistogram.Histogram;
import org.lockdale.emulator.history.HistoryChecker;
import org.lockdale.emulator.history.HistoryEvent;
import org.lockdale.emulator.history.Verdict;

/**
 * Statistics of a run, computed from the history of callers and engines.
 *
 * @param requests requests sent
 * @param ends number of calls by outcome
 * @param errors number of calls by error code
 * @param firstTokens times to first token by group of services, such as a priority
 * @param prefixHitRate ratio of prompt tokens found in caches to all prompt tokens
 * @param wastedShare ratio of computed prompt tokens that another engine held to all computed ones
 * @param verdict result of the history check
 */
public record LoadReport(
    int requests,
    Map<String, Integer> ends,
    Map<String, Integer> errors,
    Map<String, Latency> firstTokens,
    double prefixHitRate,
    double wastedShare,
    Verdict verdict) {

  private static final long MAX_MICROS = 600_000_000L;
  private static final double MICROS_PER_MILLI = 1_000;

  /**
   * Times to first token in milliseconds.
   *
   * @param count calls that received a token
   * @param p50 median
   * @param p95 95th percentile
   * @param p99 99th percentile
   */
  public record Latency(long count, double p50, double p95, double p99) {

    static Latency of(Histogram histogram) {
      return new Latency(
          histogram.getTotalCount(),
          histogram.getValueAtPercentile(50) / MICROS_PER_MILLI,
          histogram.getValueAtPercentile(95) / MICROS_PER_MILLI,
          histogram.getValueAtPercentile(99) / MICROS_PER_MILLI);
    }
  }

  /**
   * Returns the report of a history.
   *
   * @param groupOf returns the group of a service in the times to first token
   */
  public static LoadReport of(List<HistoryEvent> history, UnaryOperator<String> groupOf) {
    List<HistoryEvent.Call> calls = new ArrayList<>();
    long promptTokens = 0;
    long cachedTokens = 0;
    long wastedTokens = 0;
    for (HistoryEvent event : history) {
      if (event instanceof HistoryEvent.Call call) {
        calls.add(call);
      } else if (event instanceof HistoryEvent.Run run) {
        promptTokens += run.promptTokens();
        cachedTokens += run.cachedTokens();
        wastedTokens += run.heldElsewhereTokens();
      }
    }
    return new LoadReport(
        calls.size(),
        countEnds(calls),
        countErrors(calls),
        latencies(calls, groupOf),
        ratio(cachedTokens, promptTokens),
        ratio(wastedTokens, promptTokens - cachedTokens),
        HistoryChecker.check(history));
  }

  private static double ratio(long part, long total) {
    return total == 0 ? 0 : (double) part / total;
  }

  private static Map<String, Integer> countEnds(List<HistoryEvent.Call> calls) {
    Map<String, Integer> ends = new TreeMap<>();
    calls.forEach(call -> ends.merge(call.end().name(), 1, Integer::sum));
    return ends;
  }

  private static Map<String, Integer> countErrors(List<HistoryEvent.Call> calls) {
    Map<String, Integer> errors = new TreeMap<>();
    for (HistoryEvent.Call call : calls) {
      if (!call.errorCode().isEmpty()) {
        errors.merge(call.errorCode(), 1, Integer::sum);
      }
    }
    return errors;
  }

  /**
   * Returns the group of a call. Requests with an idempotency key are grouped separately, as they
   * are not streamed: their first token arrives with the complete response.
   */
  private static String groupOf(HistoryEvent.Call call, UnaryOperator<String> groupOfService) {
    String group = groupOfService.apply(call.service());
    return call.idempotencyKey().isEmpty() ? group : group + " (whole)";
  }

  private static Map<String, Latency> latencies(
      List<HistoryEvent.Call> calls, UnaryOperator<String> groupOf) {
    Map<String, Histogram> histograms = new TreeMap<>();
    for (HistoryEvent.Call call : calls) {
      if (call.firstTokenMicros() >= 0) {
        histograms
            .computeIfAbsent(groupOf(call, groupOf), absent -> new Histogram(MAX_MICROS, 3))
            .recordValue(Math.min(call.firstTokenMicros(), MAX_MICROS));
      }
    }
    Map<String, Latency> latencies = new TreeMap<>();
    histograms.forEach((group, histogram) -> latencies.put(group, Latency.of(histogram)));
    return latencies;
  }
}
