package org.lockdale.gateway.resume;

import java.util.OptionalLong;

/**
 * Record in the shared store that backends of a pool run, or recently ran, a software version. It
 * outlasts the nodes, so that one which has just started knows at which versions a stream may have
 * begun.
 *
 * @param version the pool and its software version
 * @param goneAtStoreMillis time of the store's clock since which no backend runs the version, in
 *     milliseconds; empty while one does
 */
public record RecordedVersion(StreamOrigin version, OptionalLong goneAtStoreMillis) {

  /** Returns the record of a version that backends run. */
  public static RecordedVersion present(StreamOrigin version) {
    return new RecordedVersion(version, OptionalLong.empty());
  }

  /** Returns the record of a version that no backend runs since the given time. */
  public static RecordedVersion gone(StreamOrigin version, long storeMillis) {
    return new RecordedVersion(version, OptionalLong.of(storeMillis));
  }

  /** Returns whether backends run the version. */
  public boolean isPresent() {
    return goneAtStoreMillis.isEmpty();
  }
}
