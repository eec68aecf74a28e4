package org.lockdale.gateway.request;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.quarantine.Quarantine;
import org.lockdale.gateway.quarantine.QuarantinedRequest;
import org.lockdale.gateway.quarantine.part.HeldPart;
import org.tinylog.Logger;

/**
 * Refuses quarantined requests, during which backends crashed, and those with a prompt part that
 * crashed backends, before any resources are spent on them. Runs after the tenant filter, since the
 * same contents from another caller are another request.
 */
final class QuarantineFilter implements RequestFilter {

  /**
   * Upper bound of the retry time. A caller learns within this time if an operator releases the
   * request before its quarantine ends.
   */
  private static final long MAX_RETRY_AFTER_MILLIS = 300_000;

  /** Lower bound of the retry time, as the end of a withheld request may be overdue. */
  private static final long MIN_RETRY_AFTER_MILLIS = 1_000;

  /**
   * Lower bound of the random factor that spreads the retries of callers that were refused
   * together.
   */
  private static final double MIN_SPREAD_FACTOR = 0.8;

  private final Quarantine quarantine;
  private final Time time;

  QuarantineFilter(Quarantine quarantine, Time time) {
    this.quarantine = quarantine;
    this.time = time;
  }

  @Override
  public @Nullable Refusal apply(RequestState state) {
    Optional<QuarantinedRequest> quarantined =
        quarantine.quarantined(state.request, state.caller());
    if (quarantined.isPresent()) {
      return refusal(state, quarantined.get());
    }
    return quarantine
        .parts()
        .heldPart(state.request, state.caller())
        .map(part -> refusal(state, part))
        .orElse(null);
  }

  private Refusal refusal(RequestState state, HeldPart part) {
    Logger.info(
        "event=request-held-back request={} part={} backends={}",
        state.request.id(),
        part.part(),
        part.crashes());
    String reason =
        "Servers crashed each time they began to answer a request with part "
            + part.part().id()
            + " of its prompt, so it was not run. Leave that part out, or ask the operators to"
            + " release it.";
    return new Refusal(RefusalKind.HELD_BACK, reason, retryAfterMillis(part.untilMillis()));
  }

  private Refusal refusal(RequestState state, QuarantinedRequest quarantined) {
    Logger.info(
        "event=request-held-back request={} fingerprint={} backends={} unresolved={}",
        state.request.id(),
        quarantined.fingerprint(),
        quarantined.crashedBackends(),
        quarantined.unresolvedBackends());
    return new Refusal(
        RefusalKind.HELD_BACK, reason(quarantined), retryAfterMillis(quarantined.untilMillis()));
  }

  private static String reason(QuarantinedRequest quarantined) {
    if (quarantined.isWithheld()) {
      return "Servers crashed, or may have crashed, while this request ran, so it was not run"
          + " again. Retry when it is known whether they did.";
    }
    return "Servers crashed each time this request ran, so it was not run again. Change it, or ask"
        + " the operators to release "
        + quarantined.fingerprint()
        + ".";
  }

  private long retryAfterMillis(long untilMillis) {
    long remaining = untilMillis - time.monotonicMillis();
    double factor = ThreadLocalRandom.current().nextDouble(MIN_SPREAD_FACTOR, 1);
    return Math.max(
        MIN_RETRY_AFTER_MILLIS, (long) (Math.min(remaining, MAX_RETRY_AFTER_MILLIS) * factor));
  }
}
