package org.lockdale.gateway.cluster;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.backend.AdvertisedRate;
import org.lockdale.gateway.rate.RateSend;

/**
 * The requests that a node of {@link RateSimulation} receives: it has a relay choose a backend or
 * chooses one itself, and sends them.
 */
final class RateSimulationRequests {

  private static final long ANSWER_TIMEOUT_MILLIS = 40;
  private static final int MAX_UNANSWERED_QUERIES = 3;
  private static final int SERVICE_MICROS = 80_000;

  private final RateSimulation simulation;
  private final RateSimulationNode node;
  private int unansweredQueries;

  /** Until when the links of this node to backends with rates hold what they carry. */
  long linksHeldUntilMillis;

  RateSimulationRequests(RateSimulation simulation, RateSimulationNode node) {
    this.simulation = simulation;
    this.node = node;
  }

  /**
   * Chooses a backend by this node's counts. Prefers those that advertise rates, which is the hard
   * case.
   */
  private Optional<RateLimitedBackend> choose() {
    RateLimitedBackend best = null;
    for (RateLimitedBackend candidate : simulation.backends) {
      boolean open =
          candidate.recorded && (node.isEarlierVersion || node.rates().hasRoom(candidate.id()));
      if (open && (best == null || simulation.random.nextInt(simulation.backends.size()) == 0)) {
        best = candidate;
      }
    }
    return best != null && (node.isEarlierVersion || node.rates().tryTake(best.id()))
        ? Optional.of(best)
        : Optional.empty();
  }

  void arrive() {
    simulation.arrivedRequests++;
    node.election()
        .coordinator(node.monotonicMillis())
        .ifPresentOrElse(relay -> sendQuery(simulation.node(relay.id()), false), this::decide);
  }

  private void sendQuery(RateSimulationNode relay, boolean isRepeat) {
    long current = node.incarnation();
    boolean[] answered = {false};
    simulation.deliver(
        node,
        relay,
        () -> {
          Optional<RateLimitedBackend> chosen = relay.requests().choose();
          boolean isGranted = chosen.isPresent() && relay.requests().isCounted(chosen.get());
          simulation.deliver(
              relay,
              node,
              () -> {
                if (!answered[0] && node.incarnation() == current) {
                  answered[0] = true;
                  unansweredQueries = 0;
                  onAnswer(relay, chosen, isGranted);
                }
              });
        });
    node.executor()
        .schedule(
            () -> {
              if (!answered[0]) {
                answered[0] = true;
                onTimeout(relay, isRepeat);
              }
            },
            ANSWER_TIMEOUT_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  private void onAnswer(
      RateSimulationNode relay, Optional<RateLimitedBackend> chosen, boolean isGranted) {
    if (chosen.isEmpty()) {
      simulation.rejected++;
    } else if (node.isEarlierVersion || isGranted || node.rates().tryTake(chosen.get().id())) {
      run(chosen.get());
    } else {
      node.exchange().onUncountedPlacement(relay.id, chosen.get().id());
      decide();
    }
  }

  private boolean isCounted(RateLimitedBackend backend) {
    return !node.isEarlierVersion && node.rates().isLimited(backend.id());
  }

  private void onTimeout(RateSimulationNode relay, boolean isRepeat) {
    if (++unansweredQueries >= MAX_UNANSWERED_QUERIES) {
      unansweredQueries = 0;
      node.election().markUnresponsive(relay.id, node.monotonicMillis());
    }
    Optional<RateSimulationNode> next =
        node.election().relays(node.monotonicMillis()).stream()
            .map(each -> simulation.node(each.id()))
            .filter(each -> each != relay)
            .findFirst();
    if (isRepeat || next.isEmpty()) {
      decide();
    } else {
      sendQuery(next.get(), true);
    }
  }

  private void decide() {
    choose().ifPresentOrElse(this::run, () -> simulation.rejected++);
  }

  private void run(RateLimitedBackend backend) {
    String target = backend.id();
    long sentAt = node.monotonicMillis();
    long current = node.incarnation();
    RateSend send = node.rates().recordSend(target, "", "");
    simulation.time.schedule(
        simulation.linkMicros() + heldMicros(backend, linksHeldUntilMillis),
        () -> arriveAt(backend, target, send, sentAt, current));
  }

  private long heldMicros(RateLimitedBackend backend, long untilMillis) {
    boolean hasRate = backend.advertisedRate() instanceof AdvertisedRate.Limited;
    return hasRate ? Math.max(0, untilMillis * 1_000 - simulation.time.nowMicros()) : 0;
  }

  private void arriveAt(
      RateLimitedBackend backend,
      String target,
      @Nullable RateSend send,
      long sentAt,
      long incarnation) {
    if (!backend.id().equals(target)) {
      return;
    }
    long stalledMicros = backend.stalledUntilMillis * 1_000 - simulation.time.nowMicros();
    if (stalledMicros > 0) {
      simulation.time.schedule(
          stalledMicros, () -> arriveAt(backend, target, send, sentAt, incarnation));
      return;
    }
    // An earlier version cannot comply with a rate, whatever an earlier incarnation of the node
    // received.
    backend.onRequest(node.isEarlierVersion ? "" : node.id, simulation.time.monotonicMillis());
    long serviceMicros = backend.serviceMillis * 1_000 + simulation.random.nextInt(SERVICE_MICROS);
    simulation.time.schedule(
        serviceMicros, () -> answer(backend, target, send, sentAt, incarnation));
  }

  private void answer(
      RateLimitedBackend backend,
      String target,
      @Nullable RateSend send,
      long sentAt,
      long incarnation) {
    long stalledMicros = backend.stalledUntilMillis * 1_000 - simulation.time.nowMicros();
    if (stalledMicros > 0) {
      simulation.time.schedule(
          stalledMicros, () -> answer(backend, target, send, sentAt, incarnation));
      return;
    }
    AdvertisedRate rate = backend.advertisedRate();
    simulation.time.schedule(
        simulation.linkMicros() + heldMicros(backend, linksHeldUntilMillis),
        () -> node.whenAwake(incarnation, () -> onResponse(backend, target, rate, send, sentAt)));
  }

  private void onResponse(
      RateLimitedBackend backend,
      String target,
      AdvertisedRate rate,
      @Nullable RateSend send,
      long sentAt) {
    if (!node.isEarlierVersion) {
      if (backend.id().equals(target)) {
        backend.onResponseReceived(node.id, rate, simulation.time.monotonicMillis());
      }
      node.rates().recordResponse(target, rate, sentAt);
      if (send != null) {
        node.rates().recordEnd(send, RateSend.End.ANSWERED);
      }
    }
  }
}
