package org.lockdale.gateway.quarantine.part;

/**
 * The crash of a backend that had just begun to run a request with a certain part, or was about to.
 * Merging the views of two nodes gives the same result in either order.
 *
 * @param caller hash of the caller of the request; {@link #SEVERAL} if there were several
 * @param cleared whether the crash no longer counts against the part
 */
public record PartCrash(int caller, boolean cleared) {

  /** Stands for several callers. */
  static final int SEVERAL = 0;

  PartCrash merge(PartCrash other) {
    return new PartCrash(caller == other.caller ? caller : SEVERAL, cleared || other.cleared);
  }

  PartCrash clear() {
    return new PartCrash(caller, true);
  }
}
