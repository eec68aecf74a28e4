package org.lockdale.gateway.node;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.admission.AdmissionMetrics;
import org.lockdale.gateway.backend.SurplusReplies;
import org.lockdale.gateway.capacity.EngineCapacity;
import org.lockdale.gateway.capacity.EngineCapacityTable;
import org.lockdale.gateway.drain.BackendAnnouncements;
import org.lockdale.gateway.flow.HeldBytes;
import org.lockdale.gateway.rate.BackendRates;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;

/** Serves a node's counters and gauges as text lines of name, labels in braces, and value. */
final class MetricsHandler implements HttpHandler {

  static final String PATH = "/metrics";

  private static final int OK = 200;

  /**
   * Sources of the metrics.
   *
   * @param openRequests supplies the number of requests without a final response
   * @param requestsByOutcome supplies the number of completed requests by outcome
   * @param processorMillis supplies processor time by thread, in milliseconds
   * @param trafficBytes supplies the bytes exchanged other than requests, by kind of message
   * @param rates rates that backends advertise
   * @param announcements announcements of draining and backoff in the responses of backends
   * @param engines estimated capacities of engines
   * @param admission counts of the admission queue, or null if requests do not wait for room
   * @param configurationVersion supplies the version of the configuration in force
   * @param configurationAgeMillis supplies the time since the configuration was last proven to be
   *     current, in milliseconds
   * @param held bytes that the node holds for slow callers and backends
   * @param surplusReplies counts of replies that were not due
   */
  record Sources(
      IntSupplier openRequests,
      Supplier<Map<String, Long>> requestsByOutcome,
      Supplier<Map<String, Long>> processorMillis,
      Supplier<Map<String, Long>> trafficBytes,
      BackendRates rates,
      BackendAnnouncements announcements,
      EngineCapacityTable engines,
      @Nullable AdmissionMetrics admission,
      LongSupplier configurationVersion,
      LongSupplier configurationAgeMillis,
      HeldBytes held,
      SurplusReplies surplusReplies) {}

  private final Sources sources;

  MetricsHandler(Sources sources) {
    this.sources = sources;
  }

  @Override
  public void handle(HttpExchange exchange) {
    StringBuilder text = new StringBuilder();
    add(text, "lockdale_open_requests", sources.openRequests().getAsInt());
    addAll(text, "lockdale_requests_total", "outcome", sources.requestsByOutcome().get());
    addAll(
        text, "lockdale_processor_milliseconds_total", "thread", sources.processorMillis().get());
    addAll(text, "lockdale_traffic_bytes_total", "kind", sources.trafficBytes().get());
    addRates(text, sources.rates());
    add(text, "lockdale_backend_leavings_total", sources.announcements().drainAnnouncements());
    add(text, "lockdale_backend_rests_total", sources.announcements().backoffRequests());
    add(text, "lockdale_withdrawn_sends_total", sources.announcements().withdrawals());
    addEngines(text, sources.engines());
    addAdmission(text, sources.admission());
    add(text, "lockdale_configuration_version", sources.configurationVersion().getAsLong());
    add(
        text,
        "lockdale_configuration_age_milliseconds",
        sources.configurationAgeMillis().getAsLong());
    add(text, "lockdale_held_bytes", sources.held().heldBytes());
    add(text, "lockdale_paused_streams", sources.held().pausedStreams());
    add(text, "lockdale_slow_readers_cut_total", sources.held().cutOffs());
    addSurplusReplies(text, sources.surplusReplies());
    exchange.reply(HttpReply.text(OK, text.toString()));
  }

  private static void addSurplusReplies(StringBuilder text, SurplusReplies replies) {
    String name = "lockdale_surplus_replies_total";
    add(text, name + "{connection=\"idle\"}", replies.idleCount());
    add(text, name + "{connection=\"waiting\"}", replies.skippedCount());
  }

  private static void addRates(StringBuilder text, BackendRates rates) {
    Map<String, Double> limits = new TreeMap<>();
    rates.limited().forEach((backend, rate) -> limits.put(backend, rate.perSecond()));
    add(text, "lockdale_rate_share", rates.share());
    addAll(text, "lockdale_backend_rate_per_second", "backend", limits);
    addAll(text, "lockdale_backend_rate_sends_total", "backend", rates.sends());
    addAll(text, "lockdale_backend_rate_pending", "backend", rates.pendingCounts());
    add(text, "lockdale_rate_delays_total", rates.delays());
  }

  private static void addEngines(StringBuilder text, EngineCapacityTable engines) {
    Map<String, EngineCapacity> capacities = new TreeMap<>(engines.all());
    addOf(text, "lockdale_engine_speed", capacities, EngineCapacity::speed);
    addOf(text, "lockdale_engine_reserved_tokens", capacities, EngineCapacity::reservedTokens);
    addOf(text, "lockdale_engine_silent", capacities, engine -> engine.silent() ? 1 : 0);
    addOf(text, "lockdale_engine_slowdown", capacities, EngineCapacity::slowdown);
  }

  private static void addOf(
      StringBuilder text,
      String name,
      Map<String, EngineCapacity> capacities,
      Function<EngineCapacity, Number> quantity) {
    capacities.forEach(
        (engine, capacity) ->
            add(text, name + "{backend=\"" + engine + "\"}", quantity.apply(capacity)));
  }

  private static void addAdmission(StringBuilder text, @Nullable AdmissionMetrics admission) {
    if (admission == null) {
      return;
    }
    for (AdmissionMetrics.Waiting waiting : admission.waiting()) {
      String labels = "{pool=\"" + waiting.pool() + "\",priority=\"" + waiting.priority() + "\"}";
      add(text, "lockdale_admission_queue_length" + labels, waiting.tickets());
      add(text, "lockdale_admission_oldest_wait_milliseconds" + labels, waiting.oldestMillis());
    }
    add(text, "lockdale_admissions_total", admission.admissions());
    for (AdmissionMetrics.Cause cause : AdmissionMetrics.Cause.values()) {
      add(
          text,
          "lockdale_admission_refusals_total{cause=\"" + cause.label() + "\"}",
          admission.refusals(cause));
    }
  }

  private static void addAll(
      StringBuilder text, String name, String label, Map<String, ? extends Number> values) {
    values.forEach(
        (value, number) -> add(text, name + '{' + label + "=\"" + value + "\"}", number));
  }

  private static void add(StringBuilder text, String name, Number value) {
    text.append(name).append(' ').append(value).append('\n');
  }

  @Override
  public HttpReply renderProtocolError(HttpProtocolError error) {
    return HttpReply.text(error.status(), error.remedy());
  }
}
