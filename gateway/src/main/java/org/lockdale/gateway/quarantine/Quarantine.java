package org.lockdale.gateway.quarantine;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.coordination.blackboard.Snapshot;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.caller.CallerRequest;
import org.lockdale.gateway.life.LifeEvidence;
import org.lockdale.http.Reachability;
import org.tinylog.Logger;

/**
 * Holds requests back under which back ends end. Each node sees the ends of its own requests, tells
 * all others, and keeps what matters in the shared table for nodes that start or were cut off; all
 * decide by the same rule. The request path reads a section of the blackboard; the rest runs on one
 * event loop.
 */
public final class Quarantine {

  private static final long TICK_MILLIS = 250;

  /** An end brings a message from each node that had requests there; they are weighed together. */
  private static final long GATHER_MILLIS = 10;

  /**
   * Where it finds what it needs.
   *
   * @param eventLoop runs it
   * @param prober tells what an address does with a new connection
   * @param backends back ends on record, and when that was last known to be current
   * @param table rows of the suspects that all nodes have to know
   * @param sender sends suspects to all other nodes
   * @param coordinator whether this node is the relay that acts for all
   * @param time clock
   */
  public record Context(
      ScheduledExecutorService eventLoop,
      Function<InetSocketAddress, CompletableFuture<Reachability>> prober,
      Supplier<Snapshot<BackendTable>> backends,
      SuspectTable table,
      Consumer<List<Suspect>> sender,
      BooleanSupplier coordinator,
      Time time) {}

  private final Context context;
  private final Section<Suspects> section;
  private final CrashWatch watch;
  private final SuspectLedger ledger;
  private final SuspectRecorder recorder;
  private final SuspectSender sender;
  private final AttemptJournal journal;
  private final LifeEvidence lives;

  private Collection<HeldRequest> heldBefore = List.of();
  private boolean known;
  private boolean publishing;

  /**
   * Creates it; {@link #start} starts it.
   *
   * @param context where it finds what it needs
   * @param section where it tells the request path what is held back
   * @param holdMillis time after the last end for which a request is held back
   */
  public Quarantine(Context context, Section<Suspects> section, long holdMillis) {
    this.context = context;
    this.section = section;
    this.ledger = new SuspectLedger(holdMillis);
    this.watch =
        new CrashWatch(
            context.eventLoop(), context.prober(), this::backends, listener(), context.time());
    this.recorder =
        new SuspectRecorder(
            ledger, context.table(), context.coordinator(), context.eventLoop(), context.time());
    this.lives = new LifeEvidence(context.backends());
    this.journal = new AttemptJournal(context.table(), context.eventLoop(), context.time());
    this.sender = new SuspectSender(context.eventLoop(), ledger, context.sender());
  }

  /** Starts its upkeep. */
  public void start() {
    context
        .eventLoop()
        .scheduleAtFixedRate(this::upkeep, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Returns what takes in the answers of back ends, which show that they live. */
  public LifeEvidence lives() {
    return lives;
  }

  /**
   * Takes in that a request is about to be sent; from any thread.
   *
   * @param request the request
   * @param caller name of the tenant, or the key where there is none
   * @param backend id of the back end's incarnation
   * @return what {@link #concluded} is to be told of; empty where nothing speaks against it
   */
  public Optional<SuspectAttempt> sending(CallerRequest request, String caller, String backend) {
    Optional<SuspectAttempt> attempt = section.value().attempt(request, caller, backend);
    attempt.ifPresent(each -> context.eventLoop().execute(() -> begin(each)));
    return attempt;
  }

  private void begin(SuspectAttempt attempt) {
    ledger
        .find(attempt.fingerprint())
        .filter(suspect -> suspect.weight() > 0)
        .ifPresent(suspect -> journal.begin(attempt));
  }

  /**
   * Takes in that an attempt has been concluded; from any thread.
   *
   * @param attempt the attempt
   * @param doubtful whether it was lost, so that its back end may have ended of it
   */
  public void concluded(SuspectAttempt attempt, boolean doubtful) {
    context.eventLoop().execute(() -> journal.conclude(attempt, doubtful));
  }

  /** Takes in an attempt that broke off; from any thread. */
  public void lost(LostAttempt attempt) {
    watch.attemptLost(attempt);
  }

  /**
   * Returns why a request is held back, or empty where it may be sent; from any thread.
   *
   * @param request the request
   * @param caller name of the tenant, or the key where there is none
   */
  public Optional<HeldRequest> held(CallerRequest request, String caller) {
    return section.value().quarantined(request, caller);
  }

  /**
   * Takes in that a back end has answered a request well, which it does not end; from any thread.
   *
   * @param request the request
   * @param caller name of the tenant, or the key where there is none
   */
  public void answered(CallerRequest request, String caller) {
    section
        .value()
        .fingerprintIfSuspect(request, caller)
        .ifPresent(
            fingerprint -> context.eventLoop().execute(() -> forgive(fingerprint, "answered")));
  }

  /** Returns the requests that are held back; from any thread. */
  Collection<HeldRequest> held() {
    return section.value().quarantined();
  }

  /**
   * Releases a request; on the event loop.
   *
   * @return whether anything spoke against it
   */
  boolean release(RequestFingerprint fingerprint) {
    return forgive(fingerprint, "released");
  }

  private boolean forgive(RequestFingerprint fingerprint, String reason) {
    boolean watched = ledger.find(fingerprint).filter(Quarantine::isWatched).isPresent();
    Optional<Suspect> forgiven = ledger.forgive(fingerprint);
    if (forgiven.isEmpty()) {
      return false;
    }
    if (watched) {
      // Nodes that don't know it yet ask for it, in effect, when they tell of a second end.
      Logger.info("event=suspect-cleared fingerprint={} reason={}", fingerprint, reason);
      changedHere(forgiven.get());
      publishSoon();
    }
    return true;
  }

  private void changedHere(Suspect suspect) {
    recorder.markSeenLocally(suspect.fingerprint());
    sender.broadcast(suspect.fingerprint());
  }

  private BackendTable backends() {
    return context.backends().get().value();
  }

  private CrashWatch.Listener listener() {
    return new CrashWatch.Listener() {
      @Override
      public void onConnectionClosed(LostAttempt attempt) {
        suspect("connection-closed-under", attempt);
        publishSoon();
      }

      @Override
      public void onCrash(BackendCrash end) {
        end.lost().forEach(lost -> suspect("backend-ended-under", lost));
        publishSoon();
      }
    };
  }

  /**
   * A closed connection counts as the end of its back end until it is heard again. Whether it ended
   * may be known seconds later only, and to nobody where each node that saw a connection close is
   * killed before: three ends were forgotten so, and a request was sent four times more.
   */
  private void suspect(String event, LostAttempt lost) {
    RequestFingerprint fingerprint = RequestFingerprint.of(lost.request(), lost.caller());
    Logger.info(
        "event={} backend={} request={} fingerprint={} answer-ms={}",
        event,
        lost.backend(),
        lost.request().id(),
        fingerprint,
        lost.answerMillis());
    boolean early = lost.answerMillis() <= SuspectLedger.EARLY_MILLIS;
    int sketch = RequestFingerprint.sketchOf(lost.request(), lost.caller());
    Map<String, SuspectEnd> ends = Map.of(lost.backend(), new SuspectEnd(early, false));
    Suspect suspect = new Suspect(fingerprint, sketch, ends);
    if (ledger.recordLoss(suspect, context.time().monotonicMillis())) {
      changedHere(suspect);
    }
  }

  private boolean merge(Suspect suspect) {
    return ledger.merge(suspect, context.time().monotonicMillis());
  }

  /** Takes in what another node tells; on the event loop. */
  public void told(List<Suspect> suspects) {
    boolean news = false;
    for (Suspect suspect : suspects) {
      news |= merge(suspect);
      Optional<Suspect> known = ledger.find(suspect.fingerprint());
      // Who knows more tells it where it matters, so that no node decides without it.
      if (known.isPresent() && !suspect.includes(known.get()) && isWatched(suspect)) {
        changedHere(known.get());
      }
    }
    if (news) {
      publishSoon();
    }
  }

  private static boolean isWatched(Suspect suspect) {
    return suspect.weight() >= SuspectLedger.WATCHED_WEIGHT;
  }

  /**
   * Returns what a node that has just started should know, at most so many of the requests that
   * most speaks against; on the event loop.
   */
  public List<Suspect> heaviest(int most) {
    return ledger.all().stream()
        .filter(suspect -> suspect.weight() > 0)
        .sorted(Comparator.comparingInt(Suspect::weight).reversed())
        .limit(most)
        .toList();
  }

  /**
   * Takes in all that is on record; on the event loop.
   *
   * @param rows suspects
   * @param attempts attempts of suspects
   */
  public void observed(Collection<Suspect> rows, Collection<SuspectAttempt> attempts) {
    journal.update(attempts);
    boolean news = countUnconcluded();
    for (Suspect row : recorder.update(rows)) {
      news |= merge(row);
    }
    if (news || !known) {
      // The first reading also tells the request path that it may begin.
      known = true;
      publish();
    } else {
      recorder.tick();
    }
  }

  /** Counts what nodes that have ended had sent to back ends that have ended since. */
  private boolean countUnconcluded() {
    boolean news = false;
    for (SuspectAttempt attempt : journal.takeCrashed(backends())) {
      Logger.info(
          "event=backend-ended-under backend={} fingerprint={} evidence=unconcluded",
          attempt.backend(),
          attempt.fingerprint());
      Map<String, SuspectEnd> ends = Map.of(attempt.backend(), new SuspectEnd(true, false));
      Suspect suspect = new Suspect(attempt.fingerprint(), attempt.sketch(), ends);
      if (merge(suspect)) {
        changedHere(suspect);
        news = true;
      }
    }
    return news;
  }

  private void upkeep() {
    long now = context.time().monotonicMillis();
    boolean changed = doubtEnds(now) | countUnconcluded();
    journal.tick(context.coordinator().getAsBoolean());
    for (Suspect released : ledger.expire(now)) {
      Logger.info(
          "event=suspect-cleared fingerprint={} reason=held-long-enough", released.fingerprint());
      changedHere(released);
      changed = true;
    }
    if (changed) {
      publish();
    } else {
      recorder.tick();
    }
  }

  /** Takes the ends back of those that have been shown to live since these were learned. */
  private boolean doubtEnds(long nowMillis) {
    lives.observe();
    boolean changed = false;
    BackendTable table = backends();
    for (String backend : ledger.crashedBackends()) {
      TrackedBackend tracked = table.find(backend);
      long lived = tracked == null ? Long.MIN_VALUE : lives.lastAliveAtMillis(tracked);
      List<Suspect> forgiven = ledger.recordAlive(backend, lived);
      if (!forgiven.isEmpty()) {
        boolean answered = tracked != null && tracked.aliveAtMillis() == lived;
        Logger.info(
            "event=backend-lives backend={} evidence={} seen-ms-ago={}",
            backend,
            answered ? "answered" : "record-stands",
            nowMillis - lived);
        forgiven.forEach(this::changedHere);
        changed = true;
      }
    }
    return changed;
  }

  private void publishSoon() {
    if (!publishing) {
      publishing = true;
      context.eventLoop().schedule(this::publish, GATHER_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void publish() {
    publishing = false;
    List<HeldRequest> held = ledger.quarantined();
    for (HeldRequest request : held) {
      boolean before =
          heldBefore.stream().anyMatch(other -> other.fingerprint().equals(request.fingerprint()));
      if (!before) {
        Logger.warn(
            "event=request-quarantined fingerprint={} backends={}",
            request.fingerprint(),
            request.ends());
      }
    }
    heldBefore = held;
    section.publish(new Suspects(ledger.all(), held), context.time().monotonicMillis());
    recorder.tick();
  }
}
