package org.lockdale.openai;

/** HTTP headers beyond the standard ones, between caller and node and between node and engine. */
public final class HeaderNames {

  /** Caller to node: the request must run at most once under this key. */
  public static final String IDEMPOTENCY_KEY = "idempotency-key";

  /** Caller to node: milliseconds from now after which the answer is of no use. */
  public static final String DEADLINE_MILLIS = "x-lockdale-deadline-ms";

  /** Node to caller: {@code not_run}, {@code unknown} or {@code complete}. */
  public static final String OUTCOME = "x-lockdale-outcome";

  /** Node to caller: id of the request in logs. */
  public static final String REQUEST_ID = "x-request-id";

  /** Node to caller: the engine that served the request. */
  public static final String ENGINE = "x-lockdale-engine";

  /** Node to engine and back: id of the attempt, echoed by the engine. */
  public static final String ATTEMPT_ID = "x-attempt-id";

  /** Node to engine: incarnation it must have; engine to node: the one it has. */
  public static final String ENGINE_INCARNATION = "x-engine-incarnation";

  /** Node to engine: weights version that the model must have. */
  public static final String WEIGHTS_VERSION = "x-weights-version";

  /** Node to engine: salt of cached blocks; blocks of another salt must not be used. */
  public static final String CACHE_SALT = "x-cache-salt";

  /** Node to engine: tenant, used by stand-ins as ground truth of who owns a block. */
  public static final String TENANT = "x-tenant";

  /** Node to engine: priority, higher runs first. */
  public static final String PRIORITY = "x-priority";

  /** Resumes a stream after an event, as in the server-sent events specification. */
  public static final String LAST_EVENT_ID = "last-event-id";

  private HeaderNames() {}
}
