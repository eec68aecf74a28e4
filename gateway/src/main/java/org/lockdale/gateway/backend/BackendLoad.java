package org.lockdale.gateway.backend;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Work that this node has sent to one back end and that has not ended. Prompt tokens are counted as
 * waiting until the answer begins and as running after it. Safe for use by several threads.
 */
public final class BackendLoad {

  private final AtomicInteger openRequests = new AtomicInteger();
  private final AtomicLong waitingTokens = new AtomicLong();
  private final AtomicLong runningTokens = new AtomicLong();
  private final AtomicLong progress = new AtomicLong();

  /** One request's share of the load; used on one thread at a time. */
  public final class Share {
    private final long computedTokens;
    private final long promptTokens;
    private boolean begun;
    private boolean ended;

    private Share(long computedTokens, long promptTokens) {
      this.computedTokens = computedTokens;
      this.promptTokens = promptTokens;
    }

    /**
     * Notes that the answer has begun.
     *
     * @return whether it had not begun before
     */
    public boolean begin() {
      if (begun || ended) {
        return false;
      }
      begun = true;
      waitingTokens.addAndGet(-computedTokens);
      runningTokens.addAndGet(promptTokens);
      progress.incrementAndGet();
      return true;
    }

    /** Notes that the request has ended, however it ended. */
    public void end() {
      if (ended) {
        return;
      }
      ended = true;
      openRequests.decrementAndGet();
      if (begun) {
        runningTokens.addAndGet(-promptTokens);
      } else {
        waitingTokens.addAndGet(-computedTokens);
      }
      progress.incrementAndGet();
    }
  }

  /**
   * Notes a request that is sent.
   *
   * @param computedTokens prompt tokens that the back end probably has to compute
   * @param promptTokens all tokens of the prompt
   */
  public Share open(long computedTokens, long promptTokens) {
    openRequests.incrementAndGet();
    waitingTokens.addAndGet(computedTokens);
    progress.incrementAndGet();
    return new Share(computedTokens, promptTokens);
  }

  /**
   * Returns a number that rises whenever a request is sent, begins to be answered or ends. A report
   * that counts a relay's placements must tell of every engine whose number has risen: the relay
   * forgets those placements.
   */
  public long progress() {
    return progress.get();
  }

  /** Returns all of the work. */
  public BackendWork work() {
    return new BackendWork(waitingTokens(), runningTokens(), openRequests());
  }

  /** Returns the number of requests that have not ended. */
  public int openRequests() {
    return openRequests.get();
  }

  /** Returns the tokens of prompts whose answers have not begun. */
  public long waitingTokens() {
    return waitingTokens.get();
  }

  /** Returns the tokens of prompts whose answers have begun and not ended. */
  public long runningTokens() {
    return runningTokens.get();
  }
}
