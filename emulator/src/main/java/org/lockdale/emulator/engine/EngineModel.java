package org.lockdale.emulator.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.collection.BoundedMap;
import org.lockdale.coordination.placement.PrefixChain;

/**
 * An engine without I/O and without a clock of its own, so that the same model serves behind HTTP
 * and in simulations. It works in steps: {@link #beginStep} tells how long the next step takes,
 * {@link #completeStep} delivers what it brought. Not safe for use by several threads.
 */
public final class EngineModel {

  private static final int BYTES_PER_TOKEN = 4;
  private static final int TOKENS_PER_BLOCK = PrefixChain.BLOCK_BYTES / BYTES_PER_TOKEN;
  private static final int MAX_REMEMBERED_ATTEMPTS = 20_000;
  private static final double MICROS_PER_SECOND = 1e6;

  private final EngineSettings settings;
  private final String incarnation;
  private final LongSupplier nowMicros;
  private final Consumer<RunRecord> ledger;
  private final CacheEventLog events;
  private final BlockCache cache;
  private final CacheCensus census;
  private final Map<String, String> weights;
  private final PriorityQueue<Attempt> queue =
      new PriorityQueue<>(
          Comparator.<Attempt>comparingInt(attempt -> -attempt.request.priority())
              .thenComparingLong(attempt -> attempt.arrival));
  private final List<Attempt> running = new ArrayList<>();
  private final Map<String, Attempt> attempts = new BoundedMap<>(MAX_REMEMBERED_ATTEMPTS);
  private final Map<String, Boolean> tombstones = new BoundedMap<>(MAX_REMEMBERED_ATTEMPTS);
  private final Map<Attempt, Integer> prefillPlan = new LinkedHashMap<>();
  private final List<Attempt> decodePlan = new ArrayList<>();
  private long arrivals;
  private long highestFencingToken;
  private boolean leaving;
  private @Nullable LoadReport lastReport;
  private long lastReportMicros;

  /**
   * Creates an empty engine.
   *
   * @param settings speed and size
   * @param incarnation differs from that of any earlier life
   * @param random decides which cache events are lost
   * @param nowMicros the engine's clock
   * @param ledger hears of every attempt that runs, before it does
   * @param census counts the blocks of all engines of this process
   */
  public EngineModel(
      EngineSettings settings,
      String incarnation,
      UniformRandomProvider random,
      LongSupplier nowMicros,
      Consumer<RunRecord> ledger,
      CacheCensus census) {
    this.settings = settings;
    this.incarnation = incarnation;
    this.nowMicros = nowMicros;
    this.ledger = ledger;
    this.events = new CacheEventLog(settings, random, nowMicros);
    this.census = census;
    this.cache = new BlockCache(settings.cacheBlocks(), events, census);
    this.weights = new HashMap<>(settings.weights());
  }

  /** Returns the incarnation. */
  public String incarnation() {
    return incarnation;
  }

  /** Returns the weights version of a model, or null where it is not loaded. */
  public @Nullable String weightsVersion(String model) {
    return weights.get(model);
  }

  /** Offers a request; its output goes to the listener where it is accepted. */
  public SubmitResult submit(EngineRequest request, EngineOutput output) {
    SubmitResult refusal = refusalOf(request);
    if (refusal != SubmitResult.ACCEPTED) {
      return refusal;
    }
    Attempt attempt = new Attempt(request, arrivals, output);
    arrivals++;
    attempts.put(request.attemptId(), attempt);
    queue.add(attempt);
    return SubmitResult.ACCEPTED;
  }

  private SubmitResult refusalOf(EngineRequest request) {
    if (!matches(request.expectedIncarnation(), incarnation)) {
      return SubmitResult.INCARNATION_MISMATCH;
    }
    String loaded = weights.get(request.model());
    if (loaded == null) {
      return SubmitResult.MODEL_NOT_LOADED;
    }
    if (!matches(request.weightsVersion(), loaded)) {
      return SubmitResult.WEIGHTS_MISMATCH;
    }
    if (tombstones.containsKey(request.attemptId())) {
      return SubmitResult.TOMBSTONED;
    }
    if (attempts.containsKey(request.attemptId())) {
      return SubmitResult.DUPLICATE_ATTEMPT;
    }
    if (leaving) {
      return SubmitResult.LEAVING;
    }
    return queue.size() >= settings.maxQueued() ? SubmitResult.QUEUE_FULL : SubmitResult.ACCEPTED;
  }

  private static boolean matches(String expected, String actual) {
    return expected.isEmpty() || expected.equals(actual);
  }

  /**
   * Cancels an attempt. One that did not run leaves a tombstone, so that it is refused should it
   * arrive late.
   *
   * @return what became of it
   */
  public AttemptFate cancel(String attemptId) {
    Attempt attempt = attempts.get(attemptId);
    if (attempt == null) {
      tombstones.put(attemptId, Boolean.TRUE);
      return AttemptFate.NEVER_STARTED;
    }
    if (queue.remove(attempt)) {
      attempts.remove(attemptId);
      tombstones.put(attemptId, Boolean.TRUE);
      attempt.output.onBroken("cancelled");
      return AttemptFate.NEVER_STARTED;
    }
    if (attempt.fate == AttemptFate.RUNNING) {
      attempt.fate = AttemptFate.CANCELLED;
      running.remove(attempt);
      attempt.output.onBroken("cancelled");
    }
    return attempt.fate;
  }

  /** Returns what is known of an attempt. */
  public AttemptFate fateOf(String attemptId) {
    Attempt attempt = attempts.get(attemptId);
    return attempt == null ? AttemptFate.NEVER_STARTED : attempt.fate;
  }

  /**
   * Sends the output of an attempt again from a token on, and what is still to come.
   *
   * @param firstIndex index of the first token wanted
   * @return whether the attempt is running or finished and can be resumed
   */
  public boolean resume(String attemptId, int firstIndex, EngineOutput output) {
    Attempt attempt = attempts.get(attemptId);
    boolean resumable =
        attempt != null
            && (attempt.fate == AttemptFate.RUNNING || attempt.fate == AttemptFate.FINISHED);
    if (!resumable) {
      return false;
    }
    attempt.output = output;
    for (int index = firstIndex; index < attempt.generated; index++) {
      output.onToken(index, AnswerText.tokenAt(attempt.request.promptDigest(), index));
    }
    if (attempt.fate == AttemptFate.FINISHED) {
      output.onFinished(attempt.usage());
    }
    return true;
  }

  /** Returns the duration of the next step in microseconds, or -1 where there is nothing to do. */
  public long beginStep() {
    admit();
    prefillPlan.clear();
    decodePlan.clear();
    int budget = settings.prefillTokensPerStep();
    int prefillTokens = 0;
    for (Attempt attempt : running) {
      if (!attempt.isPrefilling()) {
        decodePlan.add(attempt);
      } else if (budget > 0) {
        int part = Math.min(budget, attempt.prefillLeft);
        prefillPlan.put(attempt, part);
        budget -= part;
        prefillTokens += part;
      }
    }
    if (running.isEmpty()) {
      return -1;
    }
    double micros =
        settings.stepMicros()
            + prefillTokens * settings.prefillMicrosPerToken()
            + decodePlan.size() * settings.decodeMicrosPerSequence();
    return (long) micros;
  }

  private void admit() {
    while (running.size() < settings.maxRunning() && !queue.isEmpty()) {
      Attempt attempt = queue.poll();
      EngineRequest request = attempt.request;
      int matchedBlocks = cache.match(request.chain(), request.owner());
      // At least one token is computed, as real engines need its logits.
      attempt.cachedTokens =
          Math.min(matchedBlocks * TOKENS_PER_BLOCK, Math.max(0, request.promptTokens() - 1));
      attempt.prefillLeft = request.promptTokens() - attempt.cachedTokens;
      attempt.fate = AttemptFate.RUNNING;
      running.add(attempt);
      ledger.accept(
          new RunRecord(
              settings.id(),
              incarnation,
              request.attemptId(),
              request.owner(),
              request.promptDigest(),
              request.promptTokens(),
              attempt.cachedTokens,
              heldElsewhere(attempt),
              nowMicros.getAsLong()));
    }
  }

  /** Returns prompt tokens that must be computed here although another engine holds them. */
  private int heldElsewhere(Attempt attempt) {
    int heldTokens = census.heldAnywhere(attempt.request.chain()) * TOKENS_PER_BLOCK;
    return Math.max(0, Math.min(heldTokens, attempt.request.promptTokens()) - attempt.cachedTokens);
  }

  /** Applies the step that was begun and delivers its tokens. */
  public void completeStep() {
    for (Map.Entry<Attempt, Integer> planned : prefillPlan.entrySet()) {
      Attempt attempt = planned.getKey();
      attempt.prefillLeft -= planned.getValue();
      if (!attempt.isPrefilling() && attempt.fate == AttemptFate.RUNNING) {
        cache.insert(attempt.request.chain(), attempt.request.owner());
        generate(attempt);
      }
    }
    for (Attempt attempt : decodePlan) {
      if (attempt.fate == AttemptFate.RUNNING) {
        generate(attempt);
      }
    }
    running.removeIf(attempt -> attempt.fate != AttemptFate.RUNNING);
  }

  private void generate(Attempt attempt) {
    int index = attempt.generated;
    attempt.generated++;
    attempt.output.onToken(index, AnswerText.tokenAt(attempt.request.promptDigest(), index));
    if (attempt.isWhole() && attempt.fate == AttemptFate.RUNNING) {
      attempt.fate = AttemptFate.FINISHED;
      attempt.output.onFinished(attempt.usage());
    }
  }

  /** Returns the load report, which is made anew only when it has reached its age. */
  public LoadReport loadReport() {
    long now = nowMicros.getAsLong();
    LoadReport report = lastReport;
    if (report == null || now - lastReportMicros >= settings.loadReportMicros()) {
      report = measureLoad();
      lastReport = report;
      lastReportMicros = now;
    }
    return report;
  }

  /** Returns prompt tokens not yet computed, of waiting and running requests. */
  public long pendingPromptTokens() {
    long promptTokens = 0;
    for (Attempt attempt : queue) {
      promptTokens += attempt.request.promptTokens();
    }
    for (Attempt attempt : running) {
      promptTokens += attempt.prefillLeft;
    }
    return promptTokens;
  }

  private LoadReport measureLoad() {
    long promptTokens = pendingPromptTokens();
    double stepPrefillMicros =
        settings.stepMicros() + settings.prefillTokensPerStep() * settings.prefillMicrosPerToken();
    long prefillPerSecond =
        (long) (settings.prefillTokensPerStep() * MICROS_PER_SECOND / stepPrefillMicros);
    return new LoadReport(
        settings.id(),
        incarnation,
        settings.zone(),
        settings.labels(),
        leaving,
        Map.copyOf(weights),
        running.size(),
        queue.size(),
        promptTokens,
        settings.maxRunning(),
        prefillPerSecond,
        cache.size(),
        0);
  }

  /**
   * Takes an order of the system if its fencing token is not older than one seen before.
   *
   * @return whether the order was carried out
   */
  public boolean order(EngineOrder order) {
    if (order.fencingToken() < highestFencingToken) {
      return false;
    }
    highestFencingToken = order.fencingToken();
    switch (order.action()) {
      case LOAD_WEIGHTS -> weights.put(order.model(), order.version());
      case UNLOAD_WEIGHTS -> weights.remove(order.model());
      case LEAVE -> leaving = true;
      case RETURN -> leaving = false;
      default -> throw new IllegalStateException("no such action: " + order.action());
    }
    lastReport = null;
    return true;
  }

  /** Returns cache events published after a number. */
  List<CacheEventLog.CacheEvent> cacheEventsAfter(long number) {
    return events.publishedAfter(number);
  }

  /** Returns the blocks held, for export, import and the oracle of experiments. */
  public int cachedPrefix(PrefixChain chain) {
    return cache.peek(chain);
  }

  /** Returns the owner of a block for export, or null where it is not held. */
  public @Nullable String exportBlock(long hash) {
    return cache.ownerOf(hash);
  }

  /** Takes a block over from another engine. */
  public void importBlock(long hash, String owner) {
    cache.insertBlock(hash, owner);
  }

  /** Breaks off all attempts, as a crash does. */
  public void breakAll(String reason) {
    List<Attempt> open = new ArrayList<>(running);
    open.addAll(queue);
    running.clear();
    queue.clear();
    cache.clear();
    for (Attempt attempt : open) {
      attempt.fate = AttemptFate.CANCELLED;
      attempt.output.onBroken(reason);
    }
  }

  /** Returns attempts that run or wait. */
  public int activeAttempts() {
    return running.size() + queue.size();
  }

  /** Returns how many blocks were reused for another owner than the one that stored them. */
  public long foreignReuses() {
    return cache.foreignReuses();
  }
}
