package org.lockdale.openai;

/** Thrown when a request body is invalid. */
public final class InvalidRequestException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final String code;
  private final String parameter;

  InvalidRequestException(String code, String parameter, String message) {
    super(message, null, false, false);
    this.code = code;
    this.parameter = parameter;
  }

  /** Returns a machine-readable error code. */
  public String code() {
    return code;
  }

  /** Returns the field that caused the error, or an empty string. */
  public String parameter() {
    return parameter;
  }
}
