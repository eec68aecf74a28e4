package org.lockdale.cli;

/** Keeps the log lines of requests out of commands whose output is for people. */
final class QuietLogs {

  private static final String LEVEL = "tinylog.level";

  private QuietLogs() {}

  /** Logs warnings and errors only; to be called before anything is logged. */
  static void begin() {
    if (System.getProperty(LEVEL) == null) {
      System.setProperty(LEVEL, "warn");
    }
  }
}
