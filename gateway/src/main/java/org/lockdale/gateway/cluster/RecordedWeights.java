package org.lockdale.gateway.cluster;

import java.util.List;

/**
 * Times at which the target versions of a model's weights were set, as observed by a node and
 * written to the shared table for nodes that start later.
 *
 * @param model name of the model
 * @param namings the newest target versions, the newest last
 */
public record RecordedWeights(String model, List<Naming> namings) {

  /** Copies the list. */
  public RecordedWeights {
    namings = List.copyOf(namings);
  }

  /**
   * One target version.
   *
   * @param version the version
   * @param notBeforeStoreMillis time by the store's clock before which it was not the target
   */
  public record Naming(long version, long notBeforeStoreMillis) {}
}
