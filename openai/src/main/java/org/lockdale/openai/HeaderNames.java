package org.lockdale.openai;

/** Names of the HTTP headers between caller and node and between node and engine. */
public final class HeaderNames {

  /** Caller to node: the request must run at most once under this key. */
  public static final String IDEMPOTENCY_KEY = "idempotency-key";

  /** Caller to node: milliseconds after which the caller no longer needs the response. */
  public static final String DEADLINE_MILLIS = "x-lockdale-deadline-ms";

  /** Node to caller: wire name of the {@link Outcome}. */
  public static final String OUTCOME = "x-lockdale-outcome";

  /** Node to caller: id under which the request appears in logs. */
  public static final String REQUEST_ID = "x-request-id";

  /** Node to caller: the engine that served the request. */
  public static final String ENGINE = "x-lockdale-engine";

  /** Node to engine and back: id of the attempt, echoed by the engine. */
  public static final String ATTEMPT_ID = "x-attempt-id";

  /** Node to engine: incarnation that the engine must have; engine to node: the one it has. */
  public static final String ENGINE_INCARNATION = "x-engine-incarnation";

  /** Node to engine: version that the weights of the model must have. */
  public static final String WEIGHTS_VERSION = "x-weights-version";

  /** Node to engine: cache salt; cached blocks with another salt must not be used. */
  public static final String CACHE_SALT = "x-cache-salt";

  /** Node to engine: tenant; stand-ins use it as the ground truth of who owns a cached block. */
  public static final String TENANT = "x-tenant";

  /** Node to engine: priority; requests of higher priority run first. */
  public static final String PRIORITY = "x-priority";

  /** Id of the event after which a stream is resumed, as in the server-sent events standard. */
  public static final String LAST_EVENT_ID = "last-event-id";

  private HeaderNames() {}
}
