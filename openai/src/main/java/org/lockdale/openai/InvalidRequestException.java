package org.lockdale.openai;

/** A request body that can't be served. */
public final class InvalidRequestException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final String code;
  private final String parameter;

  InvalidRequestException(String code, String parameter, String message) {
    super(message, null, false, false);
    this.code = code;
    this.parameter = parameter;
  }

  /** Returns a code for programs. */
  public String code() {
    return code;
  }

  /** Returns the field at fault, or an empty string. */
  public String parameter() {
    return parameter;
  }
}
