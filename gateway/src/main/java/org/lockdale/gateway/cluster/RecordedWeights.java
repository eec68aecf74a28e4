package org.lockdale.gateway.cluster;

import java.util.List;

/**
 * When the versions of a model's weights were named, as a node witnessed it and recorded it for
 * nodes that start later.
 *
 * @param model the model
 * @param namings its newest versions, newest last
 */
public record RecordedWeights(String model, List<Naming> namings) {

  /** Copies the namings. */
  public RecordedWeights {
    namings = List.copyOf(namings);
  }

  /**
   * One version.
   *
   * @param version the version
   * @param notBeforeStoreMillis time by the store's clock before which it was not named
   */
  public record Naming(long version, long notBeforeStoreMillis) {}
}
