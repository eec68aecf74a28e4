package org.lockdale.gateway.backend;

/** Backoff that a backend requests, in a response, from the node that sent the request. */
public sealed interface RequestedBackoff {

  /** The response requests no backoff. */
  RequestedBackoff NONE = new None();

  /** The response requests no backoff. */
  record None() implements RequestedBackoff {}

  /**
   * The backend requests that this node send it no requests for a time.
   *
   * @param millis length of the backoff from the response on, in milliseconds, more than 0
   */
  record Requested(long millis) implements RequestedBackoff {

    /**
     * Creates a requested backoff.
     *
     * @throws IllegalArgumentException if the length is not positive
     */
    public Requested {
      if (millis <= 0) {
        throw new IllegalArgumentException("Backoff must be longer than 0 ms: " + millis);
      }
    }
  }

  /**
   * The response carries a value that is not a time.
   *
   * @param text the value
   */
  record Unreadable(String text) implements RequestedBackoff {}
}
