package org.lockdale.gateway.quarantine;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Sends suspects to all other nodes by datagrams. Changes within a short time go into one message.
 * Messages may be lost, so each is repeated: once for any suspect, and for several seconds for one
 * that is quarantined. Runs on one event loop.
 */
final class SuspectSender {

  private static final long GATHER_MILLIS = 10;

  private static final long FIRST_REPEAT_MILLIS = 200;

  /**
   * Delays of further repeats, in milliseconds, for quarantined suspects. After a network partition
   * that lasts longer, nodes read the suspects from the shared store.
   */
  private static final long[] LATER_REPEATS_MILLIS = {1_000, 2_500, 5_000};

  /** A suspect with a few crashes takes about 120 bytes; a datagram should stay below 1,400. */
  private static final int MAX_IN_MESSAGE = 8;

  private final ScheduledExecutorService eventLoop;
  private final SuspectLedger ledger;
  private final Consumer<List<Suspect>> sender;
  private Set<RequestFingerprint> pending = new LinkedHashSet<>();

  /**
   * Creates a sender.
   *
   * @param eventLoop runs it
   * @param ledger provides the state of a suspect at the time it is sent
   * @param sender sends one message to all other nodes
   */
  SuspectSender(
      ScheduledExecutorService eventLoop, SuspectLedger ledger, Consumer<List<Suspect>> sender) {
    this.eventLoop = eventLoop;
    this.ledger = ledger;
    this.sender = sender;
  }

  /** Schedules a suspect to be sent to all other nodes. */
  void broadcast(RequestFingerprint fingerprint) {
    if (pending.isEmpty()) {
      eventLoop.schedule(this::sendGathered, GATHER_MILLIS, TimeUnit.MILLISECONDS);
    }
    pending.add(fingerprint);
  }

  private void sendGathered() {
    Set<RequestFingerprint> fingerprints = pending;
    pending = new LinkedHashSet<>();
    send(fingerprints, 0);
    repeat(fingerprints, FIRST_REPEAT_MILLIS, 0);
    for (long delay : LATER_REPEATS_MILLIS) {
      repeat(fingerprints, delay, SuspectLedger.QUARANTINE_WEIGHT);
    }
  }

  private void repeat(Set<RequestFingerprint> fingerprints, long delayMillis, int minWeight) {
    eventLoop.schedule(() -> send(fingerprints, minWeight), delayMillis, TimeUnit.MILLISECONDS);
  }

  private void send(Set<RequestFingerprint> fingerprints, int minWeight) {
    List<Suspect> message = new ArrayList<>();
    for (RequestFingerprint fingerprint : fingerprints) {
      ledger
          .find(fingerprint)
          .filter(suspect -> suspect.weight() >= minWeight)
          .ifPresent(message::add);
      if (message.size() == MAX_IN_MESSAGE) {
        sender.accept(List.copyOf(message));
        message.clear();
      }
    }
    if (!message.isEmpty()) {
      sender.accept(message);
    }
  }
}
