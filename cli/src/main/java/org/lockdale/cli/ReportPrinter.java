package org.lockdale.cli;

import java.util.Map;
import org.lockdale.emulator.history.Verdict;
import org.lockdale.emulator.load.LoadReport;

/** Prints load reports and verdicts of the history check as text. */
final class ReportPrinter {

  private static final int MAX_VIOLATIONS_SHOWN = 20;
  private static final double PERCENT = 100;

  private ReportPrinter() {}

  /**
   * Prints a report.
   *
   * @param withEngineFigures whether the report includes the engines' records, from which the hit
   *     rate, wasted recomputation and the verdict are computed
   */
  static void print(LoadReport report, boolean withEngineFigures) {
    System.out.printf("requests %d%n", report.requests());
    printCounts("outcome", report.ends());
    printCounts("error", report.errors());
    System.out.printf(
        "%n%-18s %8s %9s %9s %9s%n", "TIME TO FIRST TOKEN", "COUNT", "P50", "P95", "P99");
    for (Map.Entry<String, LoadReport.Latency> entry : report.firstTokens().entrySet()) {
      LoadReport.Latency latency = entry.getValue();
      System.out.printf(
          "%-19s %8d %6.1f ms %6.1f ms %6.1f ms%n",
          entry.getKey(), latency.count(), latency.p50(), latency.p95(), latency.p99());
    }
    if (withEngineFigures) {
      System.out.printf(
          "%nprefix hit rate      %5.1f%% of prompt tokens were found in caches%n",
          report.prefixHitRate() * PERCENT);
      System.out.printf(
          "wasted recomputation %5.1f%% of prefilled tokens were held by another engine%n%n",
          report.wastedShare() * PERCENT);
      print(report.verdict());
    }
  }

  private static void printCounts(String title, Map<String, Integer> counts) {
    counts.forEach((name, count) -> System.out.printf("  %-8s %-24s %d%n", title, name, count));
  }

  static void print(Verdict verdict) {
    if (verdict.passed()) {
      System.out.printf(
          "history check: holds (%d calls, %d runs)%n", verdict.calls(), verdict.runs());
      return;
    }
    System.out.printf("history check: BROKEN, %d violations%n", verdict.violations().size());
    verdict.violations().stream()
        .limit(MAX_VIOLATIONS_SHOWN)
        .forEach(violation -> System.out.println("  " + violation));
  }
}
