package org.lockdale.gateway.backend;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Work that this node has sent to one backend and that has not ended. Prompt tokens are counted as
 * waiting until the response starts and as running from then on. Safe for use by several threads.
 */
public final class BackendLoad {

  private final AtomicInteger openRequests = new AtomicInteger();
  private final AtomicLong waitingTokens = new AtomicLong();
  private final AtomicLong runningTokens = new AtomicLong();
  private final AtomicLong changeCount = new AtomicLong();

  /** One request's share of the load. Not thread-safe. */
  public final class Share {
    private final long computedTokens;
    private final long promptTokens;
    private boolean started;
    private boolean ended;

    private Share(long computedTokens, long promptTokens) {
      this.computedTokens = computedTokens;
      this.promptTokens = promptTokens;
    }

    /**
     * Records that the response has started.
     *
     * @return whether this is the first call, made before the request ended
     */
    public boolean recordStart() {
      if (started || ended) {
        return false;
      }
      started = true;
      waitingTokens.addAndGet(-computedTokens);
      runningTokens.addAndGet(promptTokens);
      changeCount.incrementAndGet();
      return true;
    }

    /** Records that the request has ended, whatever its outcome. */
    public void end() {
      if (ended) {
        return;
      }
      ended = true;
      openRequests.decrementAndGet();
      if (started) {
        runningTokens.addAndGet(-promptTokens);
      } else {
        waitingTokens.addAndGet(-computedTokens);
      }
      changeCount.incrementAndGet();
    }
  }

  /**
   * Records a request that is sent.
   *
   * @param computedTokens prompt tokens that the backend probably has to compute
   * @param promptTokens all tokens of the prompt
   */
  public Share open(long computedTokens, long promptTokens) {
    openRequests.incrementAndGet();
    waitingTokens.addAndGet(computedTokens);
    changeCount.incrementAndGet();
    return new Share(computedTokens, promptTokens);
  }

  /**
   * Returns a number that increases whenever a request is sent, its response starts or it ends. A
   * report to a relay node must include every engine whose number has increased: on receiving it,
   * the relay discards the placements that the report covers, and from then on counts only the
   * reported work.
   */
  public long changeCount() {
    return changeCount.get();
  }

  /** Returns the total of the work. */
  public BackendWork work() {
    return new BackendWork(waitingTokens(), runningTokens(), openRequests());
  }

  /** Returns the number of requests that have not ended. */
  public int openRequests() {
    return openRequests.get();
  }

  /** Returns the tokens of prompts whose responses have not started. */
  public long waitingTokens() {
    return waitingTokens.get();
  }

  /** Returns the tokens of prompts whose responses have started and not ended. */
  public long runningTokens() {
    return runningTokens.get();
  }
}
