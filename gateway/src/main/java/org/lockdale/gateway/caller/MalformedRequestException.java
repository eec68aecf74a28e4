package org.lockdale.gateway.caller;

/** A request that can't be read. */
public final class MalformedRequestException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates a failure whose message names the remedy. */
  public MalformedRequestException(String message) {
    super(message, null, false, false);
  }
}
