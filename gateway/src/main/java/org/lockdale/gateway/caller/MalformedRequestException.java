package org.lockdale.gateway.caller;

/** Thrown if a request cannot be parsed. */
public final class MalformedRequestException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception without a stack trace.
   *
   * @param message what is wrong and how to fix it, for the caller
   */
  public MalformedRequestException(String message) {
    super(message, null, false, false);
  }
}
