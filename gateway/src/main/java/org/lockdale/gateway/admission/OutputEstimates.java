package org.lockdale.gateway.admission;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.caller.TokenUsage;

/**
 * Estimates the tokens of a response. A caller's hint is right at the median and often far off, so
 * it is corrected by what the route's responses have shown: the memory of an engine has to suffice
 * for four of five. Performs no I/O. Thread-safe.
 */
public final class OutputEstimates {

  private static final double QUANTILE = 0.8;

  /** Latest responses of a route that count. */
  private static final int SAMPLES = 64;

  /** Below this number of responses the quantile is that of a few outliers. */
  private static final int MIN_SAMPLES = 10;

  /** Interval at which the quantiles are computed, in responses. */
  private static final int UPDATE_INTERVAL = 8;

  /** Estimate of a response of which nothing is known, unless it may be no longer than less. */
  private static final long DEFAULT_TOKENS = 256;

  private static final class Samples {
    private final double[] values = new double[SAMPLES];
    private int count;
    private volatile double quantile = -1;

    synchronized void add(double value) {
      values[count % SAMPLES] = value;
      count++;
      if (count >= MIN_SAMPLES && (count == MIN_SAMPLES || count % UPDATE_INTERVAL == 0)) {
        double[] sorted = Arrays.copyOf(values, Math.min(count, SAMPLES));
        Arrays.sort(sorted);
        quantile = sorted[(int) Math.ceil(QUANTILE * sorted.length) - 1];
      }
    }
  }

  private final Map<String, Samples> ratios = new ConcurrentHashMap<>();
  private final Map<String, Samples> outputs = new ConcurrentHashMap<>();

  /**
   * Records a complete response.
   *
   * @param route name of its route
   * @param usage what the caller specified, or null
   * @param outputTokens tokens of the response
   */
  public void record(String route, @Nullable TokenUsage usage, long outputTokens) {
    outputs.computeIfAbsent(route, name -> new Samples()).add(outputTokens);
    Long hint = usage == null ? null : usage.expectedOutput();
    if (hint != null && hint > 0) {
      ratios.computeIfAbsent(route, name -> new Samples()).add((double) outputTokens / hint);
    }
  }

  /**
   * Returns the expected tokens of a response.
   *
   * @param route name of its route
   * @param usage what the caller specified, or null
   */
  public long expected(String route, @Nullable TokenUsage usage) {
    long limit = usage == null || usage.maxOutput() <= 0 ? Long.MAX_VALUE : usage.maxOutput();
    Long hint = usage == null ? null : usage.expectedOutput();
    double usual = quantileOf(outputs, route, DEFAULT_TOKENS);
    double estimate = hint == null || hint <= 0 ? usual : hint * quantileOf(ratios, route, 1);
    return Math.max(1, Math.min(limit, (long) Math.ceil(estimate)));
  }

  private static double quantileOf(Map<String, Samples> samples, String route, double unknown) {
    Samples found = samples.get(route);
    return found == null || found.quantile < 0 ? unknown : found.quantile;
  }
}
