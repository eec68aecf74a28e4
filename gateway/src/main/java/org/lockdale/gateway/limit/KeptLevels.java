package org.lockdale.gateway.limit;

import java.util.Map;

/**
 * Row of the shared store with the stored levels of all tenants with limits. Its levels may be used
 * only by the process that replaces it.
 *
 * @param holder id of the node that wrote it
 * @param incarnation identifies the run of that node's process
 * @param writtenAtMillis time of the store's steady clock at which it was written
 * @param levels amounts by tenant, at least 0
 */
public record KeptLevels(
    String holder, long incarnation, long writtenAtMillis, Map<String, Double> levels) {

  /**
   * Validates and copies the levels.
   *
   * @throws IllegalArgumentException if a level is negative or not a number
   */
  public KeptLevels {
    levels = Map.copyOf(levels);
    if (levels.values().stream().anyMatch(level -> !(level >= 0))) {
      throw new IllegalArgumentException(
          "a stored level must not be negative; remove the row, and the next relay writes a new"
              + " one");
    }
  }
}
