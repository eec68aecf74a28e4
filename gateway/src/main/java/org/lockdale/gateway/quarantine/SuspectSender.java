package org.lockdale.gateway.quarantine;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Tells all other nodes of suspects, by datagrams. What happens within a moment goes into one
 * message. Messages may be lost, so each is sent again: twice for any suspect, and for some seconds
 * where it is held back. Runs on one event loop.
 */
final class SuspectSender {

  private static final long GATHER_MILLIS = 10;

  private static final long FIRST_REPEAT_MILLIS = 200;

  /**
   * Further sends of the suspects that matter most; a cut that heals later is left to the table.
   */
  private static final long[] LATER_REPEATS_MILLIS = {1_000, 2_500, 5_000};

  /** A suspect with a few ends takes some 120 bytes; a datagram should stay below 1,400. */
  private static final int MAX_IN_MESSAGE = 8;

  private final ScheduledExecutorService eventLoop;
  private final SuspectLedger ledger;
  private final Consumer<List<Suspect>> sender;
  private Set<RequestFingerprint> waiting = new LinkedHashSet<>();

  /**
   * Creates a sender.
   *
   * @param eventLoop runs it
   * @param ledger tells what is known of a suspect when it is sent
   * @param sender sends one message to all other nodes
   */
  SuspectSender(
      ScheduledExecutorService eventLoop, SuspectLedger ledger, Consumer<List<Suspect>> sender) {
    this.eventLoop = eventLoop;
    this.ledger = ledger;
    this.sender = sender;
  }

  /** Tells all other nodes of a suspect. */
  void broadcast(RequestFingerprint fingerprint) {
    if (waiting.isEmpty()) {
      eventLoop.schedule(this::gathered, GATHER_MILLIS, TimeUnit.MILLISECONDS);
    }
    waiting.add(fingerprint);
  }

  private void gathered() {
    Set<RequestFingerprint> told = waiting;
    waiting = new LinkedHashSet<>();
    send(told, 0);
    repeat(told, FIRST_REPEAT_MILLIS, 0);
    for (long delay : LATER_REPEATS_MILLIS) {
      repeat(told, delay, SuspectLedger.QUARANTINE_WEIGHT);
    }
  }

  private void repeat(Set<RequestFingerprint> told, long delayMillis, int leastWeight) {
    eventLoop.schedule(() -> send(told, leastWeight), delayMillis, TimeUnit.MILLISECONDS);
  }

  private void send(Set<RequestFingerprint> told, int leastWeight) {
    List<Suspect> message = new ArrayList<>();
    for (RequestFingerprint fingerprint : told) {
      ledger
          .find(fingerprint)
          .filter(suspect -> suspect.weight() >= leastWeight)
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
