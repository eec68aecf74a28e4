package org.lockdale.gateway.usage;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts requests by how they ended. Safe for use by several threads. */
public final class RequestCounter {

  private final Map<String, LongAdder> ended = new ConcurrentHashMap<>();

  /** Counts a request; outcomes are named in the code, so there are few. */
  public void ended(String outcome) {
    ended.computeIfAbsent(outcome, name -> new LongAdder()).increment();
  }

  /** Returns the requests so far by outcome. */
  public Map<String, Long> totals() {
    Map<String, Long> totals = new TreeMap<>();
    ended.forEach((outcome, count) -> totals.put(outcome, count.sum()));
    return totals;
  }
}
