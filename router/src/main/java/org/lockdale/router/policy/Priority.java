package org.lockdale.router.policy;

/**
 * A priority.
 *
 * @param name name
 * @param level 0 to 1000; higher runs first
 * @param deadlineMillis deadline where the request sets none, or 0 for the node's default
 */
public record Priority(String name, int level, long deadlineMillis) {

  /** Highest level. */
  public static final int MAX_LEVEL = 1_000;

  /** Priority of requests whose route names none. */
  public static final Priority NORMAL = new Priority("normal", MAX_LEVEL / 2, 0);
}
