package org.lockdale.router.policy;

/**
 * A priority class of requests.
 *
 * @param name name
 * @param level 0 to 1000; higher runs first
 * @param deadlineMillis deadline of requests that set none, in milliseconds, or 0 for the node's
 *     default
 */
public record Priority(String name, int level, long deadlineMillis) {

  /** Highest level. */
  public static final int MAX_LEVEL = 1_000;

  /** Priority of requests whose route specifies none or one that does not exist. */
  public static final Priority NORMAL = new Priority("normal", MAX_LEVEL / 2, 0);
}
