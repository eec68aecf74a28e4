package org.lockdale.benchmarks;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.lockdale.coordination.placement.CacheScope;
import org.lockdale.coordination.placement.PrefixChain;
import org.lockdale.router.engine.EngineTable;
import org.lockdale.router.placement.EngineChooser;
import org.lockdale.router.placement.Placement;
import org.lockdale.router.placement.PlacementRequest;
import org.lockdale.router.placement.Popularity;
import org.lockdale.router.placement.PrefixIndex;
import org.lockdale.router.policy.PolicyParser;
import org.lockdale.router.policy.PolicySet;
import org.lockdale.router.policy.Route;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the cost of choosing an engine for a request and of parsing a configuration. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class DecisionBenchmark {

  private static final int PROMPT_TOKENS = 32_000;
  private static final int BYTES_PER_TOKEN = 4;

  /** Number of engines. */
  @Param({"8", "79", "1100"})
  public int engineCount;

  private final byte[] prompt = new byte[PROMPT_TOKENS * BYTES_PER_TOKEN];
  private final CacheScope scope = new CacheScope("tenant-1", "model-1", "", "v1");
  private final PrefixIndex prefixes = new PrefixIndex(131_072, 30_000);
  private PolicySet policies;
  private EngineTable engines;
  private Map<String, String> labels;
  private PrefixChain chain;

  /** Builds the configuration, the engines and a prompt whose prefix one engine has cached. */
  @Setup
  public void setUp() {
    Arrays.fill(prompt, (byte) 'x');
    for (int index = 0; index < prompt.length; index += 64) {
      prompt[index] = (byte) index;
    }
    policies = PolicyParser.parse(LargeDeployment.configuration(), problem -> {});
    engines = LargeDeployment.engines(engineCount);
    labels = new HashMap<>();
    labels.put("tenant", "tenant-1");
    labels.put("service", "service-20");
    labels.put("model", "model-1");
    chain = PrefixChain.of(scope, prompt);
    prefixes.recordStored(chain, engines.engines().get(1).identity(), 0);
  }

  /** Hashes the blocks of a prompt of 32,000 tokens. */
  @Benchmark
  public PrefixChain prefixChain() {
    return PrefixChain.of(scope, prompt);
  }

  /** Finds the tenant of an API key and the route that matches the labels of a request. */
  @Benchmark
  public Optional<Route> tenantAndRoute() {
    policies.tenantOfKey("key-1");
    return policies.routeOf(labels);
  }

  /** Looks up the prefix and chooses an engine; includes finding the route. */
  @Benchmark
  public Optional<Placement> choice() {
    return choose(chain, policies.routeOf(labels).orElseThrow());
  }

  /** Makes a complete decision: tenant, route, hashes of the prompt and choice of the engine. */
  @Benchmark
  public Optional<Placement> wholeDecision() {
    policies.tenantOfKey("key-1");
    return choose(PrefixChain.of(scope, prompt), policies.routeOf(labels).orElseThrow());
  }

  private Optional<Placement> choose(PrefixChain prefix, Route route) {
    PlacementRequest request =
        new PlacementRequest(
            "model-1",
            "v1",
            route.engines(),
            Set.of(),
            prefix,
            PROMPT_TOKENS,
            500,
            new Popularity(0.01, 0.01));
    return EngineChooser.choose(request, prefixes.match(prefix, 1), engines, policies, "zone-1", 1);
  }

  /** Parses the complete configuration, as each node does on every change. */
  @Benchmark
  public PolicySet configurationChange() {
    return PolicyParser.parse(LargeDeployment.configuration(), problem -> {});
  }
}
