package org.lockdale.gateway.quarantine.part;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import org.lockdale.gateway.broadcast.ChangeBroadcaster;
import org.lockdale.gateway.caller.CallerRequest;
import org.tinylog.Logger;

/**
 * Holds back requests with prompt parts that crash backends. Each node reports which parts its
 * requests had when a backend crashed under them, and which ones were answered; all nodes decide by
 * the same rule, the coordinating relay node first, and send each other their decisions. The
 * request path reads a section of the blackboard; everything else runs on one event loop.
 */
public final class PartQuarantine {

  /**
   * Longest time in milliseconds for which a response had been arriving when its backend crashed,
   * if a part of its request is the likely cause. Such a part crashes a backend when it begins to
   * write the response; in a recorded incident this took 40 to 150 ms.
   */
  private static final long EARLY_MILLIS = 250;

  /**
   * Time in milliseconds for which a response has been arriving that shows that no part of its
   * request crashes backends.
   */
  public static final long SURVIVED_MILLIS = 300;

  /**
   * Delay before a response counts. A short one may be complete just before its backend crashes
   * because of it, and a close may be read late.
   */
  private static final long ANSWER_DELAY_MILLIS = 500;

  /**
   * Age from which on the coordinator considers a crash, so that the reports of other nodes or
   * their first repeats have arrived.
   */
  private static final long COORDINATOR_SETTLE_MILLIS = 300;

  /** The same for other nodes, which decide if the coordinator doesn't. */
  private static final long OTHERS_SETTLE_MILLIS = 1_000;

  /** Changes within this time are published together. */
  private static final long GATHER_MILLIS = 50;

  /** A part with twelve crashes takes about 300 bytes; a datagram should stay below 1,400. */
  private static final int MAX_IN_MESSAGE = 4;

  private final PartContext context;
  private final PartLedger ledger;
  private final PartRecorder recorder;
  private final ChangeBroadcaster<PromptPartKey, PartSuspect> broadcaster;
  private boolean publishing;

  /**
   * Creates a quarantine.
   *
   * @param context its dependencies
   * @param holdMillis time in milliseconds after the last crash for which a part is held back
   */
  public PartQuarantine(PartContext context, long holdMillis) {
    this.context = context;
    this.ledger = new PartLedger(holdMillis);
    this.recorder =
        new PartRecorder(
            ledger, context.table(), context.coordinator(), context.eventLoop(), context.time());
    this.broadcaster =
        new ChangeBroadcaster<>(
            context.eventLoop(),
            ledger::find,
            PartQuarantine::isDecisive,
            MAX_IN_MESSAGE,
            context.sender());
  }

  /** Returns whether a part is or was held back, so that all nodes have to know its state. */
  private static boolean isDecisive(PartSuspect suspect) {
    return suspect.holds() > 0;
  }

  /**
   * Returns the part because of which a request is held back, or empty if it may go on; from any
   * thread. A request with the permit of a trial may go on.
   *
   * @param request the request
   * @param caller name of the tenant, or the key where there is none
   */
  public Optional<HeldPart> heldPart(CallerRequest request, String caller) {
    SuspectParts parts = context.section().value();
    List<HeldPart> held = parts.heldPartsOf(request, caller);
    if (held.isEmpty()) {
      return Optional.empty();
    }
    boolean isTrial =
        parts.permitOf(request).filter(each -> each.reserve(request.id())).isPresent();
    return isTrial ? Optional.empty() : Optional.of(held.get(0));
  }

  /**
   * Returns whether a request may be sent to a backend now, and uses up its permit if it is a
   * trial; from any thread.
   *
   * @param request the request
   * @param caller name of the tenant, or the key where there is none
   */
  public boolean mayBeSent(CallerRequest request, String caller) {
    SuspectParts parts = context.section().value();
    List<HeldPart> held = parts.heldPartsOf(request, caller);
    if (held.isEmpty()) {
      return true;
    }
    boolean isTrial = parts.permitOf(request).filter(each -> each.use(request.id())).isPresent();
    if (isTrial) {
      context.eventLoop().execute(() -> recordTrial(request, held.get(0).part()));
    }
    return isTrial;
  }

  private void recordTrial(CallerRequest request, PromptPartKey part) {
    Logger.info("event=part-trial part={} request={}", part, request.id());
    ledger.recordTrial(part);
    propagate(part);
  }

  /** Returns whether any part of a request is suspected; from any thread. */
  public boolean isSuspected(CallerRequest request) {
    return !context.section().value().suspectedPartsOf(request).isEmpty();
  }

  /**
   * Reports a successful response, or one that has been arriving for {@link #SURVIVED_MILLIS}; from
   * any thread.
   *
   * @param request the request
   * @param backend id of the backend that responded
   */
  public void requestAnswered(CallerRequest request, String backend) {
    Set<PromptPartKey> suspected = context.section().value().suspectedPartsOf(request);
    if (suspected.isEmpty()) {
      return;
    }
    context
        .eventLoop()
        .schedule(
            () -> handleAnswer(suspected, backend), ANSWER_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void handleAnswer(Set<PromptPartKey> parts, String backend) {
    long now = context.time().monotonicMillis();
    if (!ledger.hasLearnedOf(backend, now - ANSWER_DELAY_MILLIS)) {
      propagateCleared(ledger.recordAnswer(parts, now), "answered");
    }
  }

  private void propagateCleared(List<PartSuspect> cleared, String reason) {
    for (PartSuspect before : cleared) {
      if (before.isSignificant()) {
        // Other nodes receive the state of any other part when they report its second crash.
        Logger.info(
            "event=part-cleared part={} reason={} crashes={}",
            before.part(),
            reason,
            before.countedCrashes());
        propagate(before.part());
      }
    }
  }

  /**
   * Reports that a backend crashed, or may have crashed, while it ran a request; to be called on
   * the event loop.
   *
   * @param request the request
   * @param caller name of the tenant, or the key where there is none
   * @param contents hash of its contents
   * @param arrivedMillis time in milliseconds for which its response had been arriving
   * @param key key of the crash
   */
  public void recordCrash(
      CallerRequest request, String caller, int contents, long arrivedMillis, String key) {
    List<PromptPartKey> parts = PromptPartKey.sharedPartsOf(request);
    if (arrivedMillis > SURVIVED_MILLIS) {
      propagateCleared(ledger.recordAnswer(parts, context.time().monotonicMillis()), "outlived");
    } else if (arrivedMillis <= EARLY_MILLIS) {
      ledger
          .recordCrash(parts, caller.hashCode(), contents, key, context.time().monotonicMillis())
          .forEach(this::propagate);
    }
  }

  /**
   * Reports that the crash of an incarnation without a record is known by another key now; to be
   * called on the event loop.
   */
  public void retractCrash(String key) {
    ledger.retract(key).forEach(this::propagate);
  }

  /**
   * Retracts the crashes of backends that are known to have been alive later; to be called on the
   * event loop.
   *
   * @param lastAliveAtMillis returns the latest monotonic time at which a backend is known to have
   *     been alive, by the key of its crash; {@link Long#MIN_VALUE} if there is none
   */
  public void retractCrashes(ToLongFunction<String> lastAliveAtMillis) {
    for (String key : ledger.countedCrashes()) {
      long aliveAtMillis = lastAliveAtMillis.applyAsLong(key);
      if (aliveAtMillis != Long.MIN_VALUE) {
        ledger.retract(key, aliveAtMillis).forEach(this::propagate);
      }
    }
  }

  /** Processes parts received from another node; to be called on the event loop. */
  public void receive(List<PartSuspect> suspects) {
    for (PartSuspect suspect : suspects) {
      merge(suspect);
      // No node decides without what others know of a significant part.
      ledger
          .find(suspect.part())
          .filter(known -> suspect.isSignificant() && known.corrects(suspect))
          .ifPresent(known -> broadcaster.broadcast(known.part()));
    }
  }

  /** Processes all rows of the shared store; to be called on the event loop. */
  public void updateFromTable(Collection<PartSuspect> rows) {
    recorder.update(rows).forEach(this::merge);
    publish();
  }

  private void merge(PartSuspect suspect) {
    if (ledger.merge(suspect, context.time().monotonicMillis())
        && ledger.find(suspect.part()).filter(this::isToBePublished).isPresent()) {
      publishSoon();
    }
  }

  /**
   * Decides which parts are held back, and maintains the rows; to be called periodically.
   *
   * @param quarantined hashes of the contents of the quarantined requests that crashed backends, by
   *     id of the backend
   */
  public void tick(Map<String, Set<Integer>> quarantined) {
    long now = context.time().monotonicMillis();
    boolean coordinator = context.coordinator().getAsBoolean();
    long settleMillis = coordinator ? COORDINATOR_SETTLE_MILLIS : OTHERS_SETTLE_MILLIS;
    for (PartSuspect held : ledger.decide(now, settleMillis, quarantined)) {
      Logger.warn(
          "event=part-held-back part={} depth={} backends={}",
          held.part(),
          held.depth(),
          held.countedCrashes());
      propagate(held);
    }
    for (PartSuspect released : ledger.expire(now)) {
      Logger.info("event=part-cleared part={} reason=held-long-enough", released.part());
      propagate(released);
    }
    if (ledger.offerTrials(coordinator, now) || isPublicationOutdated()) {
      publishSoon();
    }
    recorder.tick();
  }

  /** Returns whether the request path reports answers that nothing depends on any more. */
  private boolean isPublicationOutdated() {
    return context.section().value().suspectedCount() > ledger.suspiciousCount();
  }

  private void propagate(PartSuspect suspect) {
    propagate(suspect.part());
  }

  private void propagate(PromptPartKey part) {
    broadcaster.broadcast(part);
    if (ledger.find(part).filter(this::isToBePublished).isPresent()) {
      publishSoon();
    }
  }

  /** Returns whether the state of a part may differ from what the request path reads. */
  private boolean isToBePublished(PartSuspect suspect) {
    return suspect.holds() > 0
        || suspect.isSuspicious() != context.section().value().isSuspected(suspect.part());
  }

  private void publishSoon() {
    if (!publishing) {
      publishing = true;
      context.eventLoop().schedule(this::publish, GATHER_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void publish() {
    publishing = false;
    context.section().publish(ledger.snapshot(), context.time().monotonicMillis());
  }

  /** Returns the parts that are held back; from any thread. */
  public Collection<HeldPart> held() {
    return context.section().value().held();
  }

  /**
   * Releases a part; to be called on the event loop.
   *
   * @param id id of the part, of any model
   * @return whether any part with the id was held back
   */
  public boolean release(String id) {
    Set<PromptPartKey> parts = new HashSet<>();
    for (PartSuspect suspect : ledger.all()) {
      if (suspect.isHeld() && suspect.part().id().equals(id)) {
        parts.add(suspect.part());
      }
    }
    propagateCleared(ledger.clear(parts), "released");
    return !parts.isEmpty();
  }
}
