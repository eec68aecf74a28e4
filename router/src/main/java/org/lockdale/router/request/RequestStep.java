package org.lockdale.router.request;

import java.util.concurrent.CompletableFuture;

/**
 * One step of the request path. A step lets the request continue, ends it with a response, or fails
 * with a {@link org.lockdale.router.error.RequestException}.
 */
interface RequestStep {

  /** What follows a step. */
  enum Next {
    /** The next step. */
    CONTINUE,
    /** Nothing: the request was answered, or its caller has disconnected. */
    ANSWERED
  }

  /** Completed future of a step after which the request continues. */
  CompletableFuture<Next> CONTINUE = CompletableFuture.completedFuture(Next.CONTINUE);

  /** Completed future of a step that has answered the request. */
  CompletableFuture<Next> ANSWERED = CompletableFuture.completedFuture(Next.ANSWERED);

  /**
   * Applies the step.
   *
   * @return what follows; completes on the event loop of the caller's connection
   * @throws org.lockdale.router.error.RequestException if the request is rejected
   */
  CompletableFuture<Next> apply(RequestContext context);
}
