package org.lockdale.cli;

/** Suppresses the log lines of requests in commands whose output is read by people. */
final class QuietLogs {

  private static final String LEVEL = "tinylog.level";

  private QuietLogs() {}

  /**
   * Limits the log to warnings and errors, unless a level is set as a system property. Must be
   * called before anything is logged.
   */
  static void logWarningsOnly() {
    if (System.getProperty(LEVEL) == null) {
      System.setProperty(LEVEL, "warn");
    }
  }
}
