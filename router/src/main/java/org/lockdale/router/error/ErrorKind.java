package org.lockdale.router.error;

import java.util.Locale;
import org.lockdale.openai.Outcome;

/** Kinds of errors that callers receive, each with a default outcome of the request. */
public enum ErrorKind {
  /** The request has no bearer token. */
  MISSING_API_KEY(401, Group.AUTHENTICATION, "Send 'Authorization: Bearer KEY'.", 0),
  /** The key belongs to no tenant. */
  INVALID_API_KEY(
      401, Group.AUTHENTICATION, "Check the key, or ask your operator for a valid one.", 0),
  /** The request sets a label that is reserved or that its tenant has with another value. */
  LABEL_NOT_ALLOWED(403, Group.PERMISSION, "Remove the label from 'metadata'.", 0),
  /** The model or adapter does not exist. */
  UNKNOWN_MODEL(404, Group.INVALID, "See GET /v1/models for the available models.", 0),
  /** The path does not exist. */
  UNKNOWN_PATH(404, Group.INVALID, "See docs/CALLERS.md for the available paths.", 0),
  /** The path does not accept the method. */
  METHOD_NOT_ALLOWED(405, Group.INVALID, "Use the method the path takes.", 0),
  /** The content type of the body is not JSON. */
  UNSUPPORTED_MEDIA_TYPE(415, Group.INVALID, "Send 'Content-Type: application/json'.", 0),
  /** The body or a header is invalid. */
  INVALID_REQUEST(400, Group.INVALID, "Correct the field.", 0),
  /** The request violated HTTP or a size limit. */
  PROTOCOL_ERROR(400, Group.INVALID, "Correct the request.", 0),
  /** The deadline passed before the response was complete. */
  DEADLINE_EXPIRED(504, Group.TIMEOUT, "Ask again with a later deadline.", 1),
  /** The tenant is at its limit. */
  TENANT_LIMIT(429, Group.RATE_LIMIT, "Send fewer requests at once.", 1),
  /** The engines are too busy to start the request in time. */
  OVERLOADED(503, Group.OVERLOAD, "Retry after the time in 'Retry-After'.", 2),
  /** No route matches the request's labels. */
  NO_ROUTE(403, Group.PERMISSION, "Ask your operator for a matching route.", 0),
  /** No engine that the route allows is usable. */
  NO_ENGINE(503, Group.OVERLOAD, "Retry later; the operators' status page shows the engines.", 5),
  /** The engine failed before the response was complete. */
  ENGINE_FAILED(
      502, Group.SERVER, "Retry, with the same idempotency key if the request has one.", 1),
  /** The claim of the idempotency key can't be written, so the request was not started. */
  CLAIM_STORE_UNAVAILABLE(503, Group.OVERLOAD, "Retry later with the same idempotency key.", 5),
  /** Another attempt with the same idempotency key may be running. */
  REQUEST_IN_PROGRESS(409, Group.CONFLICT, "Retry later with the same idempotency key.", 2),
  /** The request may have run, but its outcome can't be determined. */
  OUTCOME_UNKNOWN(409, Group.CONFLICT, "Check the ledger before you use a new key.", 0),
  /** The request ran, but its response was too large to be stored. */
  ANSWER_NOT_KEPT(409, Group.CONFLICT, "The request ran; check the ledger for its effect.", 0),
  /** The idempotency key was used for a request with another body. */
  IDEMPOTENCY_KEY_REUSED(422, Group.INVALID, "Use a new key for a new request.", 0),
  /** The node has received no configuration yet. */
  NOT_READY(503, Group.OVERLOAD, "Retry, at another node if there is one.", 1),
  /** The node is stopping. */
  STOPPING(503, Group.OVERLOAD, "Retry, at another node if there is one.", 1),
  /** An internal error of the node. */
  INTERNAL(500, Group.SERVER, "Report the request id to your operator.", 1);

  /** Error types as named in OpenAI's API. */
  private enum Group {
    AUTHENTICATION("authentication_error"),
    PERMISSION("permission_error"),
    INVALID("invalid_request_error"),
    RATE_LIMIT("rate_limit_error"),
    OVERLOAD("overloaded_error"),
    TIMEOUT("timeout_error"),
    CONFLICT("conflict_error"),
    SERVER("server_error");

    private final String wireName;

    Group(String wireName) {
      this.wireName = wireName;
    }
  }

  private final int status;
  private final Group group;
  private final String remedy;
  private final int retryAfterSeconds;

  ErrorKind(int status, Group group, String remedy, int retryAfterSeconds) {
    this.status = status;
    this.group = group;
    this.remedy = remedy;
    this.retryAfterSeconds = retryAfterSeconds;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns the error type as named in OpenAI's API. */
  public String type() {
    return group.wireName;
  }

  /** Returns the machine-readable error code. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns what the caller can do about the error, as a sentence. */
  public String remedy() {
    return remedy;
  }

  /** Returns the seconds after which to retry, or 0 if a retry does not help. */
  public int retryAfterSeconds() {
    return retryAfterSeconds;
  }

  /** Returns the outcome to report unless the code that raises the error sets another. */
  public Outcome defaultOutcome() {
    return switch (this) {
      case ENGINE_FAILED, OUTCOME_UNKNOWN, REQUEST_IN_PROGRESS, INTERNAL -> Outcome.UNKNOWN;
      case ANSWER_NOT_KEPT -> Outcome.COMPLETE;
      default -> Outcome.NOT_RUN;
    };
  }
}
