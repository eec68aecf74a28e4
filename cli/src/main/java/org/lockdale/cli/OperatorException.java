package org.lockdale.cli;

/**
 * Reports to an operator that a command failed, such as on invalid input, a rejected request or a
 * node that does not respond. The message is printed without a stack trace.
 */
final class OperatorException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  OperatorException(String message) {
    super(message, null, false, false);
  }
}
