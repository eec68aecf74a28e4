package org.lockdale.router.error;

import java.util.Locale;
import org.lockdale.openai.Outcome;

/** Kinds of errors that callers see, with the outcome each one stands for unless said otherwise. */
public enum ErrorKind {
  /** No bearer token. */
  MISSING_API_KEY(401, Group.AUTHENTICATION, "Send 'Authorization: Bearer KEY'.", 0),
  /** The key belongs to no tenant. */
  INVALID_API_KEY(401, Group.AUTHENTICATION, "The API key is not known; ask your operator.", 0),
  /** The request claims a label that only the system may set. */
  LABEL_NOT_ALLOWED(403, Group.PERMISSION, "Remove the label from 'metadata'.", 0),
  /** No such model or adapter. */
  UNKNOWN_MODEL(404, Group.INVALID, "See GET /v1/models for the models.", 0),
  /** No such path. */
  UNKNOWN_PATH(404, Group.INVALID, "See docs/CALLERS.md for the paths.", 0),
  /** The path does not take the method. */
  METHOD_NOT_ALLOWED(405, Group.INVALID, "Use the method the path takes.", 0),
  /** The body is not JSON. */
  UNSUPPORTED_MEDIA_TYPE(415, Group.INVALID, "Send 'Content-Type: application/json'.", 0),
  /** The body or a header can't be understood. */
  INVALID_REQUEST(400, Group.INVALID, "Correct the field.", 0),
  /** The request broke HTTP or a size limit. */
  PROTOCOL_ERROR(400, Group.INVALID, "Correct the request.", 0),
  /** The deadline was over before the request could be answered. */
  DEADLINE_EXPIRED(504, Group.TIMEOUT, "Ask again with a later deadline.", 1),
  /** The tenant is at its limit. */
  TENANT_LIMIT(429, Group.RATE_LIMIT, "Send fewer requests at once.", 1),
  /** The engines are too busy to answer in time. */
  OVERLOADED(503, Group.OVERLOAD, "Come back later.", 2),
  /** No route matches the request's labels. */
  NO_ROUTE(403, Group.PERMISSION, "Ask your operator for a route that matches.", 0),
  /** No engine matches the route. */
  NO_ENGINE(503, Group.OVERLOAD, "Come back later; the operators' status page tells more.", 5),
  /** The engine failed before the answer was whole. */
  ENGINE_FAILED(502, Group.SERVER, "Ask again.", 1),
  /** The claims can't be reached, so the request was not started. */
  CLAIM_STORE_UNAVAILABLE(503, Group.OVERLOAD, "Send the same key again later.", 5),
  /** Another attempt of the same key may be running. */
  REQUEST_IN_PROGRESS(409, Group.CONFLICT, "Send the same key again later.", 2),
  /** The request may have run and its answer is lost. */
  OUTCOME_UNKNOWN(409, Group.CONFLICT, "Check the ledger before you use a new key.", 0),
  /** The request ran, but its answer was too large to keep. */
  ANSWER_NOT_KEPT(409, Group.CONFLICT, "The request ran; check the ledger for its effect.", 0),
  /** The idempotency key stands for another request. */
  IDEMPOTENCY_KEY_REUSED(422, Group.INVALID, "Use a new key for a new request.", 0),
  /** The node knows no configuration yet. */
  NOT_READY(503, Group.OVERLOAD, "Ask another node.", 1),
  /** The node is stopping. */
  STOPPING(503, Group.OVERLOAD, "Ask another node.", 1),
  /** A fault of the node. */
  INTERNAL(500, Group.SERVER, "Report the request id to your operator.", 1);

  /** Groups of errors, named as in OpenAI's interface. */
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

  /** Returns the group of the error, as in OpenAI's interface. */
  public String type() {
    return group.wireName;
  }

  /** Returns the code for programs. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns what the caller can do. */
  public String remedy() {
    return remedy;
  }

  /** Returns when to come back in seconds, or 0 where coming back does not help. */
  public int retryAfterSeconds() {
    return retryAfterSeconds;
  }

  /** Returns the outcome unless the place that raises the error knows better. */
  public Outcome defaultOutcome() {
    return switch (this) {
      case ENGINE_FAILED, OUTCOME_UNKNOWN, REQUEST_IN_PROGRESS, INTERNAL -> Outcome.UNKNOWN;
      case ANSWER_NOT_KEPT -> Outcome.COMPLETE;
      default -> Outcome.NOT_RUN;
    };
  }
}
