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
 * Model of an inference engine with continuous batching. It does no I/O and reads the time from a
 * given clock, so that the same model runs behind HTTP and in simulations. It works in steps:
 * {@link #startStep} plans a step and returns its duration, {@link #completeStep} delivers its
 * tokens. Not safe for use by several threads.
 */
public final class EngineModel {

  private static final int BYTES_PER_TOKEN = 4;
  private static final int TOKENS_PER_BLOCK = PrefixChain.BLOCK_BYTES / BYTES_PER_TOKEN;
  private static final int MAX_REMEMBERED_ATTEMPTS = 20_000;
  private static final double MICROS_PER_SECOND = 1e6;

  private final EngineSettings settings;
  private final String incarnation;
  private final LongSupplier nowMicros;
  private final Consumer<RunRecord> runListener;
  private final CacheEventLog events;
  private final BlockCache cache;
  private final BlockHolderCounts holderCounts;
  private final Map<String, String> weights;
  private final PriorityQueue<Attempt> queue =
      new PriorityQueue<>(
          Comparator.<Attempt>comparingInt(attempt -> -attempt.request.priority())
              .thenComparingLong(attempt -> attempt.arrivalNumber));
  private final List<Attempt> running = new ArrayList<>();
  private final Map<String, Attempt> attempts = new BoundedMap<>(MAX_REMEMBERED_ATTEMPTS);
  private final Map<String, Boolean> tombstones = new BoundedMap<>(MAX_REMEMBERED_ATTEMPTS);
  private final Map<Attempt, Integer> prefillPlan = new LinkedHashMap<>();
  private final List<Attempt> decodePlan = new ArrayList<>();
  private long arrivals;
  private long highestFencingToken;
  private boolean draining;
  private @Nullable LoadReport lastReport;
  private long lastReportMicros;

  /**
   * Creates an empty engine.
   *
   * @param settings speed and size
   * @param incarnation differs from that of any earlier run of the engine
   * @param random decides which cache events are lost
   * @param nowMicros the engine's clock in microseconds
   * @param runListener receives the record of every attempt before it runs
   * @param holderCounts counts the holders of each block over all engines of this process
   */
  public EngineModel(
      EngineSettings settings,
      String incarnation,
      UniformRandomProvider random,
      LongSupplier nowMicros,
      Consumer<RunRecord> runListener,
      BlockHolderCounts holderCounts) {
    this.settings = settings;
    this.incarnation = incarnation;
    this.nowMicros = nowMicros;
    this.runListener = runListener;
    this.events = new CacheEventLog(settings, random, nowMicros);
    this.holderCounts = holderCounts;
    this.cache = new BlockCache(settings.cacheBlocks(), events, holderCounts);
    this.weights = new HashMap<>(settings.weights());
  }

  /** Returns the incarnation. */
  public String incarnation() {
    return incarnation;
  }

  /** Returns the weights version of a model, or null if it is not loaded. */
  public @Nullable String weightsVersion(String model) {
    return weights.get(model);
  }

  /** Submits a request; if it is accepted, {@code output} receives its output. */
  public SubmitResult submit(EngineRequest request, EngineOutput output) {
    SubmitResult rejection = validate(request);
    if (rejection != SubmitResult.ACCEPTED) {
      return rejection;
    }
    Attempt attempt = new Attempt(request, arrivals, output);
    arrivals++;
    attempts.put(request.attemptId(), attempt);
    queue.add(attempt);
    return SubmitResult.ACCEPTED;
  }

  private SubmitResult validate(EngineRequest request) {
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
    if (draining) {
      return SubmitResult.LEAVING;
    }
    return queue.size() >= settings.maxQueued() ? SubmitResult.QUEUE_FULL : SubmitResult.ACCEPTED;
  }

  private static boolean matches(String expected, String actual) {
    return expected.isEmpty() || expected.equals(actual);
  }

  /**
   * Cancels an attempt. One that did not run leaves a tombstone, so that it is rejected if it
   * arrives later.
   *
   * @return the state after the cancellation
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

  /**
   * Returns the state of an attempt, {@link AttemptFate#NEVER_STARTED} if it is queued or unknown.
   */
  public AttemptFate fateOf(String attemptId) {
    Attempt attempt = attempts.get(attemptId);
    return attempt == null ? AttemptFate.NEVER_STARTED : attempt.fate;
  }

  /**
   * Redirects the output of an attempt, beginning with a repetition of the tokens from an index on.
   *
   * @param firstIndex index of the first token to send
   * @return whether the attempt is running or finished; otherwise nothing is sent
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
    for (int index = firstIndex; index < attempt.generatedTokens; index++) {
      output.onToken(index, ResponseText.tokenAt(attempt.request.promptDigest(), index));
    }
    if (attempt.fate == AttemptFate.FINISHED) {
      output.onFinished(attempt.usage());
    }
    return true;
  }

  /** Plans the next step and returns its duration in microseconds, or -1 if there is no work. */
  public long startStep() {
    admit();
    prefillPlan.clear();
    decodePlan.clear();
    int remainingBudget = settings.prefillTokensPerStep();
    int prefillTokens = 0;
    for (Attempt attempt : running) {
      if (!attempt.isPrefilling()) {
        decodePlan.add(attempt);
      } else if (remainingBudget > 0) {
        int part = Math.min(remainingBudget, attempt.remainingPrefillTokens);
        prefillPlan.put(attempt, part);
        remainingBudget -= part;
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
      int matchedBlocks = cache.useHeldPrefix(request.chain(), request.owner());
      // At least one prompt token is computed, as real engines need its logits to generate.
      attempt.cachedTokens =
          Math.min(matchedBlocks * TOKENS_PER_BLOCK, Math.max(0, request.promptTokens() - 1));
      attempt.remainingPrefillTokens = request.promptTokens() - attempt.cachedTokens;
      attempt.fate = AttemptFate.RUNNING;
      running.add(attempt);
      runListener.accept(
          new RunRecord(
              settings.id(),
              incarnation,
              request.attemptId(),
              request.owner(),
              request.promptDigest(),
              request.promptTokens(),
              attempt.cachedTokens,
              tokensHeldElsewhere(attempt),
              nowMicros.getAsLong()));
    }
  }

  /** Returns the number of prompt tokens that are computed here although an engine holds them. */
  private int tokensHeldElsewhere(Attempt attempt) {
    int heldTokens = holderCounts.heldPrefixLength(attempt.request.chain()) * TOKENS_PER_BLOCK;
    return Math.max(0, Math.min(heldTokens, attempt.request.promptTokens()) - attempt.cachedTokens);
  }

  /** Completes the step that {@link #startStep} planned and delivers its tokens. */
  public void completeStep() {
    for (Map.Entry<Attempt, Integer> planned : prefillPlan.entrySet()) {
      Attempt attempt = planned.getKey();
      attempt.remainingPrefillTokens -= planned.getValue();
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
    int index = attempt.generatedTokens;
    attempt.generatedTokens++;
    attempt.output.onToken(index, ResponseText.tokenAt(attempt.request.promptDigest(), index));
    if (attempt.isComplete() && attempt.fate == AttemptFate.RUNNING) {
      attempt.fate = AttemptFate.FINISHED;
      attempt.output.onFinished(attempt.usage());
    }
  }

  /** Returns the load report, which is renewed after {@code loadReportMicros} or an order. */
  public LoadReport loadReport() {
    long now = nowMicros.getAsLong();
    LoadReport report = lastReport;
    if (report == null || now - lastReportMicros >= settings.loadReportMicros()) {
      report = createLoadReport();
      lastReport = report;
      lastReportMicros = now;
    }
    return report;
  }

  /** Returns the number of prompt tokens of queued and running requests not yet computed. */
  public long pendingPromptTokens() {
    long promptTokens = 0;
    for (Attempt attempt : queue) {
      promptTokens += attempt.request.promptTokens();
    }
    for (Attempt attempt : running) {
      promptTokens += attempt.remainingPrefillTokens;
    }
    return promptTokens;
  }

  private LoadReport createLoadReport() {
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
        draining,
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
   * Executes an order unless its fencing token is lower than one received before.
   *
   * @return whether the order was executed
   */
  public boolean execute(EngineOrder order) {
    if (order.fencingToken() < highestFencingToken) {
      return false;
    }
    highestFencingToken = order.fencingToken();
    switch (order.action()) {
      case LOAD_WEIGHTS -> weights.put(order.model(), order.version());
      case UNLOAD_WEIGHTS -> weights.remove(order.model());
      case LEAVE -> draining = true;
      case RETURN -> draining = false;
      default -> throw new IllegalStateException("unknown action: " + order.action());
    }
    lastReport = null;
    return true;
  }

  /** Returns the published cache events whose numbers are higher than a number. */
  List<CacheEventLog.CacheEvent> cacheEventsAfter(long number) {
    return events.publishedAfter(number);
  }

  /**
   * Returns the number of leading blocks of a chain that are held; experiments use it as an oracle.
   */
  public int cachedPrefixLength(PrefixChain chain) {
    return cache.heldPrefixLength(chain);
  }

  /** Returns the owner of a block for export, or null if the block is not held. */
  public @Nullable String exportBlock(long hash) {
    return cache.ownerOf(hash);
  }

  /** Stores a block that was exported by another engine. */
  public void importBlock(long hash, String owner) {
    cache.insertBlock(hash, owner);
  }

  /** Aborts all attempts and empties the cache, as a crash does. */
  public void abortAll(String reason) {
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

  /** Returns the number of attempts that are running or queued. */
  public int activeAttempts() {
    return running.size() + queue.size();
  }

  /** Returns how many times a block was reused for an owner other than the one that stored it. */
  public long foreignReuses() {
    return cache.foreignReuses();
  }
}
