package org.lockdale.coordination.concurrent;

import java.util.concurrent.CompletionException;

/** Failures of futures. */
public final class Failures {

  private Failures() {}

  /**
   * Returns what made a future fail: a future that depends on another one fails with the other's
   * failure wrapped into a {@link CompletionException}.
   */
  public static Throwable causeOf(Throwable failure) {
    Throwable cause = failure.getCause();
    return failure instanceof CompletionException && cause != null ? cause : failure;
  }
}
