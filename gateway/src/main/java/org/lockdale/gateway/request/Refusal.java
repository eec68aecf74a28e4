package org.lockdale.gateway.request;

/**
 * An answer that this node gives itself.
 *
 * @param kind why
 * @param message what is wrong and how to mend it
 * @param retryAfterMillis when to come back, in milliseconds; 0 for no advice
 */
public record Refusal(RefusalKind kind, String message, long retryAfterMillis) {

  /** Returns a refusal without advice on when to come back. */
  public static Refusal of(RefusalKind kind, String message) {
    return new Refusal(kind, message, 0);
  }
}
