package org.lockdale.cli;

/** Exit statuses of the {@code lockdale} command. */
final class ExitStatus {

  /** The command succeeded. */
  static final int OK = 0;

  /** The command ran with a negative result, such as a failed check, or a request was rejected. */
  static final int FAILED = 1;

  /** Invalid arguments or settings, or a port that could not be bound; nothing was started. */
  static final int USAGE = 2;

  private ExitStatus() {}
}
