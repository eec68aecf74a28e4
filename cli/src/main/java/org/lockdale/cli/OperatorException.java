package org.lockdale.cli;

/** A node refused an operator's request or could not be asked. */
final class OperatorException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  OperatorException(String message) {
    super(message, null, false, false);
  }
}
