package org.lockdale.router.error;

import org.lockdale.http.HttpReply;
import org.lockdale.openai.ErrorBody;
import org.lockdale.openai.HeaderNames;
import org.lockdale.openai.Outcome;

/** Thrown to end a request with an error; carries everything that is sent to the caller. */
public final class RequestException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final ErrorKind kind;
  private final String code;
  private final String parameter;
  private final Outcome outcome;
  private final int status;
  private final int retryAfterSeconds;

  private RequestException(RequestException original, Outcome outcome) {
    super(original.getMessage(), null, false, false);
    this.kind = original.kind;
    this.code = original.code;
    this.parameter = original.parameter;
    this.outcome = outcome;
    this.status = original.status;
    this.retryAfterSeconds = original.retryAfterSeconds;
  }

  private RequestException(Builder builder) {
    super(builder.detail + " " + builder.kind.remedy(), null, false, false);
    this.kind = builder.kind;
    this.code = builder.code;
    this.parameter = builder.parameter;
    this.outcome = builder.outcome;
    this.status = builder.status;
    this.retryAfterSeconds = builder.retryAfterSeconds;
  }

  /**
   * Returns an error with the defaults of its kind. Its message is the detail, which describes what
   * happened, followed by the remedy of the kind.
   */
  public static RequestException of(ErrorKind kind, String detail) {
    return builder(kind, detail).build();
  }

  /** Returns a builder for an error that differs from its kind's defaults. */
  public static Builder builder(ErrorKind kind, String detail) {
    return new Builder(kind, detail);
  }

  /** Returns the kind. */
  public ErrorKind kind() {
    return kind;
  }

  /** Returns the same error with another outcome. */
  public RequestException withOutcome(Outcome newOutcome) {
    return new RequestException(this, newOutcome);
  }

  /** Returns whether the request ran, as far as it is known. */
  public Outcome outcome() {
    return outcome;
  }

  /** Returns the error as a response body. */
  public ErrorBody toBody() {
    return new ErrorBody(
        new ErrorBody.Detail(
            getMessage(), kind.type(), parameter, code, outcome.wireName(), retryAfterSeconds));
  }

  /** Returns the complete response, with the id of the request in a header. */
  public HttpReply toReply(String requestId) {
    HttpReply reply =
        HttpReply.json(status, toBody().toJson())
            .with(HeaderNames.OUTCOME, outcome.wireName())
            .with(HeaderNames.REQUEST_ID, requestId);
    if (retryAfterSeconds > 0) {
      reply.with("retry-after", retryAfterSeconds);
    }
    return reply;
  }

  /** Builds errors. */
  public static final class Builder {
    private final ErrorKind kind;
    private final String detail;
    private String code;
    private String parameter = "";
    private Outcome outcome;
    private int status;
    private int retryAfterSeconds;

    private Builder(ErrorKind kind, String detail) {
      this.kind = kind;
      this.detail = detail;
      this.code = kind.code();
      this.outcome = kind.defaultOutcome();
      this.status = kind.status();
      this.retryAfterSeconds = kind.retryAfterSeconds();
    }

    /** Sets a more specific error code than that of the kind. */
    public Builder code(String newCode) {
      code = newCode;
      return this;
    }

    /** Sets the name of the invalid field. */
    public Builder parameter(String newParameter) {
      parameter = newParameter;
      return this;
    }

    /** Sets the outcome. */
    public Builder outcome(Outcome newOutcome) {
      outcome = newOutcome;
      return this;
    }

    /** Sets the HTTP status. */
    public Builder status(int newStatus) {
      status = newStatus;
      return this;
    }

    /** Sets the seconds after which to retry, or 0 for no such advice. */
    public Builder retryAfterSeconds(int seconds) {
      retryAfterSeconds = seconds;
      return this;
    }

    /** Returns the error. */
    public RequestException build() {
      return new RequestException(this);
    }
  }
}
