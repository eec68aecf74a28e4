package org.lockdale.gateway.request;

/**
 * An error response that this node itself sends, rather than a backend.
 *
 * @param kind reason of the refusal
 * @param message what is wrong and how to fix it
 * @param retryAfterMillis time after which to retry, in milliseconds; 0 for no advice
 */
public record Refusal(RefusalKind kind, String message, long retryAfterMillis) {

  /** Returns a refusal without advice on when to retry. */
  public static Refusal of(RefusalKind kind, String message) {
    return new Refusal(kind, message, 0);
  }
}
