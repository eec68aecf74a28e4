package org.lockdale.router.request;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.lockdale.openai.Outcome;
import org.tinylog.Logger;

/** Records metrics and one log line for each request, without prompts and API keys. */
public final class RequestRecorder {

  private final MeterRegistry metrics;
  private final AtomicInteger inFlight;

  /** Creates a recorder that registers its metrics in a registry. */
  public RequestRecorder(MeterRegistry metrics) {
    this.metrics = metrics;
    this.inFlight = metrics.gauge("lockdale_requests_in_flight", new AtomicInteger());
  }

  void recordStart() {
    inFlight.incrementAndGet();
  }

  /** Returns the number of requests that have not ended. */
  public int inFlight() {
    return inFlight.get();
  }

  void recordEnd(RequestContext context, Outcome outcome, String errorCode) {
    inFlight.decrementAndGet();
    String priority = context.route == null ? "none" : context.route.priority().name();
    metrics
        .counter("lockdale_requests", "outcome", outcome.wireName(), "error", orNone(errorCode))
        .increment();
    metrics.counter("lockdale_relayed_events").increment(context.relayedEvents);
    if (context.attempts > 1) {
      metrics.counter("lockdale_retries").increment(context.attempts - 1.0);
    }
    long firstTokenMillis = context.millisTo(RequestStage.FIRST_TOKEN);
    if (firstTokenMillis >= 0) {
      Timer.builder("lockdale_time_to_first_token")
          .tag("priority", priority)
          .publishPercentileHistogram()
          .register(metrics)
          .record(firstTokenMillis, TimeUnit.MILLISECONDS);
    }
    Logger.info(
        "event=request request={} tenant={} priority={} engine={} outcome={} error={} attempts={}"
            + " events={} caller_left={} stages={}",
        context.requestId,
        orNone(context.tenantName()),
        priority,
        orNone(context.engineId()),
        outcome.wireName(),
        orNone(errorCode),
        context.attempts,
        context.relayedEvents,
        context.callerDisconnected,
        context.timeline());
  }

  private static String orNone(String text) {
    return text.isEmpty() ? "none" : text;
  }
}
