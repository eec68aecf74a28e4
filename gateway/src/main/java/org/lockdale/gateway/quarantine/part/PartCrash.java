package org.lockdale.gateway.quarantine.part;

/**
 * The crash of a backend that had just begun to run a request with a certain part, or was about to.
 * Merging the views of two nodes gives the same result in either order.
 *
 * @param caller hash of the caller of the request; {@link #SEVERAL} if there were several
 * @param request hash of the contents of the request; {@link #SEVERAL} if there were several
 * @param cleared whether the crash no longer counts against the part
 */
public record PartCrash(int caller, int request, boolean cleared) {

  /** Stands for several callers, or several requests. */
  static final int SEVERAL = 0;

  PartCrash merge(PartCrash other) {
    return new PartCrash(
        caller == other.caller ? caller : SEVERAL,
        request == other.request ? request : SEVERAL,
        cleared || other.cleared);
  }

  PartCrash clear() {
    return new PartCrash(caller, request, true);
  }
}
