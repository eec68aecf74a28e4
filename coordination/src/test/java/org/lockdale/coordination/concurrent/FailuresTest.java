package org.lockdale.coordination.concurrent;

import static org.testng.Assert.assertSame;

import java.io.IOException;
import java.util.concurrent.CompletionException;
import org.testng.annotations.Test;

/** Tests {@link Failures}. */
public final class FailuresTest {

  @Test
  public void theWrapperOfADependentFutureIsTakenOff() {
    IOException cause = new IOException("cause");
    assertSame(Failures.causeOf(new CompletionException(cause)), cause);
  }

  @Test
  public void anyOtherFailureIsItsOwnCause() {
    RuntimeException failure = new IllegalStateException(new IOException("inner"));
    assertSame(Failures.causeOf(failure), failure);
    CompletionException empty = new CompletionException("no cause", null);
    assertSame(Failures.causeOf(empty), empty);
  }
}
