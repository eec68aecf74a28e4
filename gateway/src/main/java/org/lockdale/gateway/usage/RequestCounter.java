package org.lockdale.gateway.usage;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts requests by outcome. Thread-safe. */
public final class RequestCounter {

  private final Map<String, LongAdder> count = new ConcurrentHashMap<>();

  /**
   * Counts a request.
   *
   * @param outcome name of the outcome; names are constants of the code, so there are few
   */
  public void count(String outcome) {
    count.computeIfAbsent(outcome, name -> new LongAdder()).increment();
  }

  /** Returns the number of requests so far, by outcome. */
  public Map<String, Long> totals() {
    Map<String, Long> totals = new TreeMap<>();
    count.forEach((outcome, count) -> totals.put(outcome, count.sum()));
    return totals;
  }
}
