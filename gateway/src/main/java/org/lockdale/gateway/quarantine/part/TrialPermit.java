package org.lockdale.gateway.quarantine.part;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/**
 * Lets one request that is quarantined, or has a part that is held back, be sent once, to find out
 * whether it still crashes backends. Safe for use by several threads.
 */
public final class TrialPermit {

  private final AtomicReference<@Nullable String> request = new AtomicReference<>();
  private final AtomicBoolean used = new AtomicBoolean();

  /** Reserves the permit for a request; returns whether the request has it. */
  public boolean reserve(String requestId) {
    return !used.get()
        && (request.compareAndSet(null, requestId) || requestId.equals(request.get()));
  }

  /** Uses the permit; returns false if the request doesn't have it or has used it before. */
  public boolean use(String requestId) {
    return requestId.equals(request.get()) && used.compareAndSet(false, true);
  }

  /** Makes the permit unusable; returns false if it has been used before. */
  public boolean withdraw() {
    return used.compareAndSet(false, true);
  }
}
