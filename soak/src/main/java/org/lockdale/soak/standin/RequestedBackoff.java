package org.lockdale.soak.standin;

/**
 * The backoff that a server requests.
 *
 * @param millis backoff in milliseconds
 * @param share part of the requests that it rejects with it, 0 to 1
 */
record RequestedBackoff(long millis, double share) {

  static final RequestedBackoff NONE = new RequestedBackoff(0, 0);

  static RequestedBackoff parse(String text) {
    String[] parts = text.split(" ");
    return text.isEmpty()
        ? NONE
        : new RequestedBackoff(Long.parseLong(parts[0]), Double.parseDouble(parts[1]));
  }
}
