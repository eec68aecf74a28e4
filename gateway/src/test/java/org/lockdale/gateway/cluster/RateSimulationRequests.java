package org.lockdale.gateway.cluster;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.lockdale.gateway.backend.AdvertisedRate;

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
      boolean open = node.isEarlierVersion || node.rates().hasRoom(candidate.id());
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
    } else if (node.isEarlierVersion || isGranted || tryCount(relay, chosen.get().id())) {
      run(chosen.get());
    } else {
      node.exchange().onUncountedPlacement(relay.id, chosen.get().id());
      decide();
    }
  }

  private boolean isCounted(RateLimitedBackend backend) {
    return !node.isEarlierVersion && node.rates().isLimited(backend.id());
  }

  private boolean tryCount(RateSimulationNode relay, String backend) {
    boolean supportsRates = node.exchange().supportsRates(relay.id);
    return supportsRates && !node.rates().wasRecentlyAdvertised(backend)
        || node.rates().tryTake(backend);
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
    node.rates().recordSend(target, "", "");
    simulation.time.schedule(
        simulation.linkMicros(),
        () -> {
          if (!backend.id().equals(target)) {
            return;
          }
          // An earlier version cannot comply with a rate, whatever an earlier incarnation of the
          // node received.
          backend.onRequest(
              node.isEarlierVersion ? "" : node.id, simulation.time.monotonicMillis());
          simulation.time.schedule(
              simulation.random.nextInt(SERVICE_MICROS),
              () -> {
                AdvertisedRate rate = backend.advertisedRate();
                simulation.time.schedule(
                    simulation.linkMicros(),
                    () -> node.whenAwake(current, () -> onResponse(backend, target, rate, sentAt)));
              });
        });
  }

  private void onResponse(
      RateLimitedBackend backend, String target, AdvertisedRate rate, long sentAt) {
    if (!node.isEarlierVersion) {
      if (backend.id().equals(target)) {
        backend.onResponseReceived(node.id, rate, simulation.time.monotonicMillis());
      }
      node.rates().recordResponse(target, rate, sentAt);
    }
  }
}
