package org.lockdale.gateway.cluster;

import java.util.List;

/**
 * Times at which the target versions of a model's weights were set, as observed by a node and
 * written to the shared table for nodes that start later.
 *
 * @param model name of the model
 * @param entries the newest target versions, the newest last
 */
public record RecordedTargetVersions(String model, List<Entry> entries) {

  /** Copies the list. */
  public RecordedTargetVersions {
    entries = List.copyOf(entries);
  }

  /**
   * One target version.
   *
   * @param version the version
   * @param notBeforeStoreMillis time by the store's clock before which it was not the target
   */
  public record Entry(long version, long notBeforeStoreMillis) {}
}
