package org.lockdale.gateway.resume;

/**
 * Where a stream began.
 *
 * @param pool pool of the backend that sent its first event
 * @param softwareVersion software version of that backend
 */
public record StreamOrigin(String pool, String softwareVersion) {

  /** Differs from the version of every backend, as no text of a record contains it. */
  private static final String UNKNOWN_VERSION = "\0unknown";

  /** Returns the origin of a stream of which it is not known which version sent its events. */
  public static StreamOrigin ofUnknownVersion(String pool) {
    return new StreamOrigin(pool, UNKNOWN_VERSION);
  }
}
