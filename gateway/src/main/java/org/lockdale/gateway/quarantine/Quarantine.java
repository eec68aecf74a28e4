package org.lockdale.gateway.quarantine;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.broadcast.ChangeBroadcaster;
import org.lockdale.gateway.caller.CallerRequest;
import org.lockdale.gateway.life.LivenessEvidence;
import org.lockdale.gateway.quarantine.part.PartQuarantine;
import org.lockdale.gateway.quarantine.part.SuspectParts;

/**
 * Quarantines requests that are suspected of crashing backends. Each node observes which backends
 * crash while they run its requests, notifies all other nodes, and keeps the main suspects in the
 * shared store for nodes that start or were isolated; all nodes decide by the same rule. The
 * request path reads a section of the blackboard; everything else runs on one event loop.
 */
public final class Quarantine {

  private static final long TICK_MILLIS = 250;

  /**
   * Each node that had requests on a crashed backend sends a message; waiting this long lets them
   * be evaluated together.
   */
  private static final long GATHER_MILLIS = 10;

  /** A suspect with a few crashes takes about 120 bytes; a datagram should stay below 1,400. */
  private static final int MAX_IN_MESSAGE = 8;

  private final QuarantineContext context;
  private final Section<Suspects> section;
  private final CrashWatch watch;
  private final SuspectLedger ledger;
  private final PartQuarantine parts;
  private final SuspectRecorder recorder;
  private final ChangeBroadcaster<RequestFingerprint, Suspect> broadcaster;
  private final AttemptJournal journal;
  private final UnconcludedAttempts unconcluded;
  private final LivenessEvidence livenessEvidence;
  private final CrashRetractor retractor;
  private final TrialClaims trialClaims;
  private final SuspectTrials trials;
  private final SuspectPublisher publisher;
  private final SuspectClearer clearer;
  private final AttemptIds attemptIds;
  private final AnsweredRequests answeredRequests;

  private boolean tableRead;
  private boolean publishing;

  /**
   * Creates a quarantine; {@link #start} starts it.
   *
   * @param context its dependencies
   * @param section where it publishes to the request path which requests are quarantined
   * @param partSection where it publishes to the request path which prompt parts are held back
   * @param times when requests are quarantined and tried again
   */
  public Quarantine(
      QuarantineContext context,
      Section<Suspects> section,
      Section<SuspectParts> partSection,
      QuarantineTimes times) {
    this.context = context;
    this.section = section;
    this.ledger = new SuspectLedger(times.holdMillis());
    this.parts = new PartQuarantine(context.ofParts(partSection), times.holdMillis());
    CrashCounter counter =
        new CrashCounter(
            ledger,
            parts,
            this::lastAliveAtMillis,
            context.time(),
            this::propagate,
            this::publishSoon);
    this.watch =
        new CrashWatch(
            context.eventLoop(), context.prober(), this::backends, counter, context.time());
    this.recorder =
        new SuspectRecorder(
            ledger, context.table(), context.coordinator(), context.eventLoop(), context.time());
    this.livenessEvidence = new LivenessEvidence(context.backends());
    this.retractor =
        new CrashRetractor(ledger, this::backends, this::lastAliveAtMillis, this::propagate);
    this.attemptIds = new AttemptIds(context.node());
    this.journal =
        new AttemptJournal(context.table(), attemptIds, context.eventLoop(), context.time());
    this.unconcluded =
        new UnconcludedAttempts(
            journal,
            ledger,
            this::backends,
            this::lastAliveAtMillis,
            context.time(),
            this::propagate);
    this.trialClaims =
        new TrialClaims(context.table(), attemptIds, context.eventLoop(), context.time());
    this.answeredRequests = new AnsweredRequests(context.time());
    this.trials =
        new SuspectTrials(
            ledger,
            trialClaims,
            answeredRequests::isKnown,
            times.trialDelayMillis(),
            context.coordinator(),
            context.node(),
            context.time());
    this.publisher = new SuspectPublisher(section, ledger, trials, context.time());
    this.clearer =
        new SuspectClearer(
            ledger,
            publisher,
            answeredRequests,
            context.time(),
            this::propagate,
            this::publishSoon);
    this.broadcaster = broadcaster(context, ledger);
  }

  private static ChangeBroadcaster<RequestFingerprint, Suspect> broadcaster(
      QuarantineContext context, SuspectLedger ledger) {
    return new ChangeBroadcaster<>(
        context.eventLoop(),
        ledger::find,
        suspect -> suspect.weight() >= SuspectLedger.QUARANTINE_WEIGHT,
        MAX_IN_MESSAGE,
        context.sender());
  }

  /** Starts its periodic maintenance. */
  public void start() {
    context
        .eventLoop()
        .scheduleAtFixedRate(this::maintain, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Returns the evidence that backends are alive, to which their responses are reported. */
  public LivenessEvidence livenessEvidence() {
    return livenessEvidence;
  }

  /** Returns the quarantine of prompt parts that crash backends. */
  public PartQuarantine parts() {
    return parts;
  }

  /**
   * Reports that a request is about to be sent; from any thread.
   *
   * @param request the request
   * @param caller name of the tenant, or the key where there is none
   * @param backend id of the backend's incarnation
   * @return the attempt to report to {@link #attemptConcluded}; empty if the request is not a
   *     suspect
   */
  public Optional<SuspectAttempt> attemptStarting(
      CallerRequest request, String caller, String backend) {
    Optional<SuspectAttempt> attempt =
        section.value().attempt(request, caller, backend, attemptIds);
    attempt.ifPresent(each -> context.eventLoop().execute(() -> recordStart(each)));
    return attempt;
  }

  private void recordStart(SuspectAttempt attempt) {
    Optional<Suspect> known = ledger.find(attempt.fingerprint());
    if (known.isEmpty()) {
      // Its crashes were forgotten with the nodes that knew them, but attempts are on record.
      journal.recordStart(attempt, true);
    } else if (known.get().weight() > 0) {
      journal.recordStart(attempt, known.get().isSignificant());
    }
  }

  /**
   * Reports that an attempt has been concluded; from any thread.
   *
   * @param attempt the attempt
   * @param outcome what is known of its outcome
   */
  public void attemptConcluded(SuspectAttempt attempt, AttemptOutcome outcome) {
    context.eventLoop().execute(() -> journal.recordConclusion(attempt, outcome));
  }

  /** Reports a lost attempt; from any thread. */
  public void attemptLost(LostAttempt attempt) {
    watch.attemptLost(attempt);
    context.eventLoop().execute(() -> trials.recordLoss(attempt, backends()));
  }

  /**
   * Returns why a request is quarantined, or empty if it may go on; from any thread.
   *
   * @param request the request
   * @param caller name of the tenant, or the key where there is none
   */
  public Optional<QuarantinedRequest> quarantined(CallerRequest request, String caller) {
    Optional<QuarantinedRequest> found = section.value().quarantined(request, caller);
    found
        .filter(quarantined -> !quarantined.isWithheld())
        .ifPresent(quarantined -> trials.recordRefusal(quarantined.fingerprint()));
    return found;
  }

  /**
   * Returns whether a request may be sent to a backend now; from any thread. If it is sent as a
   * trial, no other request is.
   */
  public boolean mayBeSent(CallerRequest request, String caller) {
    return section.value().mayBeSent(request, caller);
  }

  /** Reports that an attempt has ended before the request left this node; from any thread. */
  public void attemptNotSent(CallerRequest request, String caller) {
    section.value().restorePermit(request, caller);
  }

  /**
   * Reports a successful response of a backend, which shows that the request doesn't crash it; from
   * any thread.
   *
   * @param request the request
   * @param caller name of the tenant, or the key where there is none
   */
  public void requestAnswered(CallerRequest request, String caller) {
    answeredRequests.record(request, caller);
    section
        .value()
        .fingerprintIfSuspect(request, caller)
        .ifPresent(
            fingerprint -> context.eventLoop().execute(() -> clearer.clearAnswered(fingerprint)));
  }

  /** Returns the requests that are quarantined; from any thread. */
  Collection<QuarantinedRequest> quarantined() {
    return section.value().quarantined();
  }

  /**
   * Releases a request from quarantine; to be called on the event loop.
   *
   * @return whether any crash counted against it
   */
  boolean release(RequestFingerprint fingerprint) {
    return clearer.release(fingerprint);
  }

  private void propagate(Suspect suspect) {
    propagate(suspect.fingerprint());
  }

  private void propagate(RequestFingerprint fingerprint) {
    recorder.markSeenLocally(fingerprint);
    broadcaster.broadcast(fingerprint);
  }

  private BackendTable backends() {
    return context.backends().get().value();
  }

  private boolean merge(Suspect suspect) {
    return ledger.merge(suspect, context.time().monotonicMillis());
  }

  /** Processes suspects received from another node; to be called on the event loop. */
  public void receive(List<Suspect> suspects) {
    boolean changed = false;
    for (Suspect suspect : suspects) {
      changed |= merge(suspect);
      Optional<Suspect> known = ledger.find(suspect.fingerprint());
      // A node that knows of more crashes of a significant suspect broadcasts them, so that no
      // node decides without them.
      if (known.isPresent() && !suspect.includes(known.get()) && suspect.isSignificant()) {
        propagate(known.get());
      }
    }
    if (changed) {
      publishSoon();
    }
  }

  /**
   * Returns the suspects with the greatest weights, for a node that has just started; to be called
   * on the event loop.
   *
   * @param max maximum number of suspects to return
   */
  public List<Suspect> heaviest(int max) {
    return ledger.heaviest(max);
  }

  /** Processes all claims of trials in the shared store; to be called on the event loop. */
  public void updateTrials(Collection<TrialClaim> rows) {
    trialClaims.update(rows);
  }

  /**
   * Processes all rows of the shared store; to be called on the event loop.
   *
   * @param rows suspects
   * @param attempts attempts of suspects
   */
  public void updateFromTable(Collection<Suspect> rows, Collection<SuspectAttempt> attempts) {
    journal.update(attempts);
    boolean changed = unconcluded.count();
    for (Suspect row : recorder.update(rows)) {
      changed |= merge(row);
    }
    changed |= publisher.isOutdated(unresolved());
    if (changed || !tableRead) {
      // The first reading also signals to the request path that it may start.
      tableRead = true;
      publish();
    } else {
      recorder.tick();
    }
  }

  private void maintain() {
    long now = context.time().monotonicMillis();
    livenessEvidence.observe();
    boolean changed = retractor.retract(now) | unconcluded.count();
    parts.retractCrashes(key -> lastAliveAtMillis(CrashKeys.backendOf(key)));
    parts.tick(publisher.quarantinedByBackend());
    journal.tick(context.coordinator().getAsBoolean());
    changed |= clearer.clearExpired(now);
    askOwners();
    changed |= trials.tick();
    changed |= publisher.isOutdated(unresolved());
    if (changed) {
      publish();
    } else {
      recorder.tick();
    }
  }

  /** Asks other nodes about the attempts of requests that may have to be withheld. */
  private void askOwners() {
    Set<RequestFingerprint> requests =
        ledger.withheld(journal.possiblyUnresolved(this::lastAliveAtMillis));
    journal.askOwners(requests, context.owners(), this::publishSoon);
  }

  /**
   * Returns whether an attempt that this process has recorded is in progress; to be called on the
   * event loop.
   *
   * @param attemptId id of the attempt
   */
  public boolean isAttemptInProgress(String attemptId) {
    return journal.isInProgress(attemptId);
  }

  private Map<RequestFingerprint, UnresolvedAttempts> unresolved() {
    return journal.unresolved(this::lastAliveAtMillis);
  }

  private long lastAliveAtMillis(String backend) {
    TrackedBackend tracked = backends().find(backend);
    return tracked == null ? Long.MIN_VALUE : livenessEvidence.lastAliveAtMillis(tracked);
  }

  private void publishSoon() {
    if (!publishing) {
      publishing = true;
      context.eventLoop().schedule(this::publish, GATHER_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void publish() {
    publishing = false;
    clearer.clearExplained();
    publisher.publish(unresolved());
    recorder.tick();
  }
}
