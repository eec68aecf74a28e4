package org.lockdale.router.request;

import java.util.concurrent.CompletableFuture;

/**
 * One step of the request path. A step either lets the request go on, ends it by answering it, or
 * fails with a {@link org.lockdale.router.error.RequestException}.
 */
interface RequestStep {

  /** What comes after a step. */
  enum Next {
    /** The next step. */
    CONTINUE,
    /** Nothing: the caller has its answer. */
    ANSWERED
  }

  /** Future of a step that is done and lets the request go on. */
  CompletableFuture<Next> CONTINUE = CompletableFuture.completedFuture(Next.CONTINUE);

  /** Future of a step that has answered the request. */
  CompletableFuture<Next> ANSWERED = CompletableFuture.completedFuture(Next.ANSWERED);

  /**
   * Applies the step.
   *
   * @return completes on the event loop of the caller's connection
   */
  CompletableFuture<Next> apply(RequestContext context);
}
