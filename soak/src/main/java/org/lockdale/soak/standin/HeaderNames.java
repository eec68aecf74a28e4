package org.lockdale.soak.standin;

/**
 * Names of the platform's headers. They duplicate those of the gateway on purpose, so that a wrong
 * name in the gateway is detected by the soak.
 */
public final class HeaderNames {

  /** Id of a request. */
  public static final String REQUEST_ID = "Lockdale-Request-Id";

  /** Remaining time of a request, in milliseconds. */
  public static final String DEADLINE = "Lockdale-Deadline-Ms";

  /** Requested model. */
  public static final String MODEL = "Lockdale-Model";

  /** Parts of a prompt, with their tokens. */
  public static final String PREFIX = "Lockdale-Prefix-Hash";

  /** Tokens of the prompt and maximum tokens of the output. */
  public static final String USAGE = "Lockdale-Token-Usage";

  /** Id of the event after which a stream continues. */
  public static final String LAST_EVENT = "Last-Event-Id";

  /** Id of the request that brought the first event of the stream that is continued. */
  public static final String RESUMES = "Resumes";

  /** Signature of the run that produced the response. */
  public static final String SIGNATURE = "Lockdale-Response-Signature";

  /** Id of the server that must run the request. */
  public static final String TARGET = "Lockdale-Target-Instance";

  /** Tenant of the request. */
  public static final String TENANT = "Lockdale-Tenant";

  /** Marks a response to a request that was not run. */
  public static final String NOT_EXECUTED = "Lockdale-Not-Executed";

  /** Namespace of cached parts. */
  public static final String SALT = "Lockdale-Cache-Salt";

  /** Address from which cached parts are fetched. */
  public static final String KV_FETCH = "Lockdale-Kv-Fetch";

  /** Address at which cached parts are saved. */
  public static final String KV_SAVE = "Lockdale-Kv-Save";

  /** Version of the weights that the request requires. */
  public static final String EXPECTED_VERSION = "Lockdale-Expected-Version";

  /** Version of the weights that produced the response. */
  public static final String WEIGHTS = "Lockdale-Weight-Versions";

  /** Rate limit that a server advertises: requests per second from all nodes together. */
  public static final String SERVER_LIMIT = "Server-Limit";

  /** Announces that a server is draining. */
  public static final String SERVER_LEAVING = "Server-Leaving";

  /** Backoff in seconds that a server requests from the node whose request it rejects. */
  public static final String RETRY_AFTER = "Retry-After";

  /** Number of a caller's send of a request under one id; a header of the soak's own. */
  public static final String SEND = "Soak-Send";

  /** Marks a second reply with the run of the first one; a header of the soak's own. */
  public static final String SECOND_REPLY = "Soak-Second-Reply";

  private HeaderNames() {}
}
