package org.lockdale.coordination.concurrent;

import java.util.concurrent.CompletionException;

/** Utilities for the failures of futures. */
public final class Failures {

  private Failures() {}

  /**
   * Returns the original failure of a future. A future that depends on another one fails with the
   * failure of the other one wrapped in a {@link CompletionException}.
   */
  public static Throwable causeOf(Throwable failure) {
    Throwable cause = failure.getCause();
    return failure instanceof CompletionException && cause != null ? cause : failure;
  }
}
