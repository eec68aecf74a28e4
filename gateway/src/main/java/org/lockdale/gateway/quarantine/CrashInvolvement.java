package org.lockdale.gateway.quarantine;

/**
 * What the crash of a backend indicates about a request that was running on it. Merging the views
 * of two nodes gives the same result in either order.
 *
 * @param early whether the backend crashed before its response started, or so shortly after that
 *     the request is a likely cause
 * @param cleared whether the crash no longer counts against the request
 */
public record CrashInvolvement(boolean early, boolean cleared) {

  private static final int EARLY_WEIGHT = 3;
  private static final int LATE_WEIGHT = 2;

  /** Returns how much the crash counts against the request; 0 if it was cleared. */
  int weight() {
    return cleared ? 0 : early ? EARLY_WEIGHT : LATE_WEIGHT;
  }

  CrashInvolvement merge(CrashInvolvement other) {
    return new CrashInvolvement(early || other.early, cleared || other.cleared);
  }

  CrashInvolvement asCleared() {
    return new CrashInvolvement(early, true);
  }
}
