package org.lockdale.gateway.backend;

/** Backoff that a backend requests, in a response, from the node that sent the request. */
public sealed interface RestStatement {

  /** The response requests no backoff. */
  RestStatement NONE = new None();

  /** The response requests no backoff. */
  record None() implements RestStatement {}

  /**
   * The backend requests that this node send it no requests for a time.
   *
   * @param millis length of the backoff from the response on, in milliseconds, more than 0
   */
  record Wanted(long millis) implements RestStatement {

    /**
     * Creates a requested backoff.
     *
     * @throws IllegalArgumentException if the length is not positive
     */
    public Wanted {
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
  record Unreadable(String text) implements RestStatement {}
}
