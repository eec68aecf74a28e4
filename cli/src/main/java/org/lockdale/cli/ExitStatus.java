package org.lockdale.cli;

/** Exit statuses of the command. */
final class ExitStatus {

  /** Done. */
  static final int OK = 0;

  /** The work was done and its result is not what it should be, or a request was refused. */
  static final int FAILED = 1;

  /** The arguments or settings are wrong; nothing was started. */
  static final int USAGE = 2;

  private ExitStatus() {}
}
