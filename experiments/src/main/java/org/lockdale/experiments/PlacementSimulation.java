package org.lockdale.experiments;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.lockdale.coordination.placement.CacheScope;
import org.lockdale.coordination.placement.PrefixChain;
import org.lockdale.coordination.placement.PromptText;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.emulator.engine.BlockHolderCounts;
import org.lockdale.emulator.engine.EngineOutput;
import org.lockdale.emulator.engine.EngineRequest;
import org.lockdale.emulator.engine.EngineUsage;
import org.lockdale.emulator.engine.ResponseText;
import org.lockdale.emulator.engine.RunRecord;
import org.lockdale.emulator.load.PlannedRequest;
import org.lockdale.emulator.load.Workload;

/** Simulates one scenario under one placement policy on a virtual clock. */
public final class PlacementSimulation {

  private static final double MICROS_PER_SECOND = 1e6;
  private static final double MICROS_PER_MILLI = 1e3;
  private static final long MAX_MICROS = 600_000_000;
  private static final int BYTES_PER_TOKEN = 4;
  private static final int URGENT_PRIORITY = 900;
  private static final int PATIENT_PRIORITY = 100;

  /** Services whose requests tolerate waiting and get the low priority. */
  private static final Set<String> PATIENT_SERVICES = Set.of("dispute-draft", "contract-draft");

  private final Scenario scenario;
  private final VirtualTime time = new VirtualTime();
  private final UniformRandomProvider random;
  private final Workload workload;
  private final PlacementPolicy policy;
  private final List<SimulatedEngine> engines = new ArrayList<>();
  private final List<SimulatedNodeView> nodes = new ArrayList<>();
  private final Histogram urgent = new Histogram(MAX_MICROS, 3);
  private final Histogram patient = new Histogram(MAX_MICROS, 3);
  private long promptTokens;
  private long cachedTokens;
  private long wastedTokens;
  private long sent;
  private int measured;
  private int refused;

  private PlacementSimulation(Scenario scenario, String policyName, long seed) {
    this.scenario = scenario;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.workload = scenario.newWorkload();
    BlockHolderCounts blockHolders = new BlockHolderCounts();
    for (int zone = 0; zone < scenario.zones().size(); zone++) {
      for (int number = 0; number < scenario.engines().get(zone); number++) {
        String id = String.format("llm-%02d", engines.size() + 1);
        engines.add(
            new SimulatedEngine(
                SimulatedEngine.settings(id, scenario.zones().get(zone), scenario.cacheBlocks()),
                time,
                RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong()),
                this::recordRun,
                blockHolders));
      }
    }
    for (String zone : scenario.zones()) {
      nodes.add(new SimulatedNodeView(zone, time, engines));
    }
    UniformRandomProvider choices = RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong());
    this.policy = new Policies(scenario, time, choices).find(policyName);
  }

  /**
   * Runs a scenario under a policy.
   *
   * @throws IllegalArgumentException if there is no such policy or workload
   */
  public static PlacementResult run(Scenario scenario, String policy, long seed) {
    return new PlacementSimulation(scenario, policy, seed).run();
  }

  private PlacementResult run() {
    scheduleArrival();
    int total = scenario.warmUpSeconds() + scenario.seconds();
    time.runMillis(total * 1_000L);
    return new PlacementResult(
        measured,
        refused,
        (double) cachedTokens / promptTokens,
        (double) wastedTokens / (promptTokens - cachedTokens),
        urgent.getValueAtPercentile(50) / MICROS_PER_MILLI,
        urgent.getValueAtPercentile(99) / MICROS_PER_MILLI,
        patient.getValueAtPercentile(99) / MICROS_PER_MILLI);
  }

  private boolean isMeasuring() {
    return time.nowMicros() >= scenario.warmUpSeconds() * MICROS_PER_SECOND;
  }

  private void scheduleArrival() {
    double gap = -Math.log(1 - random.nextDouble()) / scenario.requestsPerSecond();
    time.schedule(
        (long) (gap * MICROS_PER_SECOND),
        () -> {
          dispatch(workload.next(random, sent));
          sent++;
          scheduleArrival();
        });
  }

  private void dispatch(PlannedRequest request) {
    SimulatedNodeView node = nodes.get((int) (sent % nodes.size()));
    byte[] prompt =
        new PromptText()
            .message("system", request.systemPrompt())
            .message("user", request.userPrompt())
            .toBytes();
    CacheScope scope = new CacheScope(request.tenant(), "model", "", "v1");
    PrefixChain chain = PrefixChain.of(scope, prompt);
    int tokens = Math.max(1, prompt.length / BYTES_PER_TOKEN);
    PlacementPolicy.Choice choice = policy.choose(node, engines, chain, tokens);
    SimulatedEngine engine = choice.engine();
    node.activityOf(engine).recordSend(choice.uncachedTokens());
    boolean isInOtherZone = !engine.zone().equals(node.zone());
    double hopMillis = isInOtherZone ? scenario.zoneLatencyMillis() : 0;
    boolean isPatient = PATIENT_SERVICES.contains(request.service());
    EngineRequest submitted =
        new EngineRequest(
            "attempt-" + sent,
            "",
            "model",
            "",
            request.tenant(),
            chain,
            ResponseText.digest(("" + sent).getBytes(StandardCharsets.UTF_8)),
            tokens,
            request.maxTokens(),
            isPatient ? PATIENT_PRIORITY : URGENT_PRIORITY);
    AttemptListener listener =
        new AttemptListener(node, engine, chain, hopMillis, isPatient ? patient : urgent);
    time.schedule(
        (long) (hopMillis * MICROS_PER_MILLI),
        () -> {
          if (!engine.submit(submitted, listener)) {
            refused += isMeasuring() ? 1 : 0;
          }
        });
  }

  private void recordRun(RunRecord run) {
    if (isMeasuring()) {
      measured++;
      promptTokens += run.promptTokens();
      cachedTokens += run.cachedTokens();
      wastedTokens += run.heldElsewhereTokens();
    }
  }

  /** Records the first token of one attempt and updates the view of its node at the end. */
  private final class AttemptListener implements EngineOutput {
    private final SimulatedNodeView node;
    private final SimulatedEngine engine;
    private final PrefixChain chain;
    private final double hopMillis;
    private final Histogram histogram;
    private final long arrivedMicros = time.nowMicros();

    AttemptListener(
        SimulatedNodeView node,
        SimulatedEngine engine,
        PrefixChain chain,
        double hopMillis,
        Histogram histogram) {
      this.node = node;
      this.engine = engine;
      this.chain = chain;
      this.hopMillis = hopMillis;
      this.histogram = histogram;
    }

    @Override
    public void onToken(int index, String text) {
      if (index == 0 && isMeasuring()) {
        double networkMillis = hopMillis + 2 * scenario.clientLatencyMillis();
        long micros = time.nowMicros() - arrivedMicros + (long) (networkMillis * MICROS_PER_MILLI);
        histogram.recordValue(Math.min(MAX_MICROS, micros));
      }
    }

    @Override
    public void onFinished(EngineUsage usage) {
      node.activityOf(engine).recordEnd();
      node.prefixes().recordStored(chain, engine.identity(), time.monotonicMillis());
    }

    @Override
    public void onBroken(String reason) {
      node.activityOf(engine).recordEnd();
    }
  }
}
