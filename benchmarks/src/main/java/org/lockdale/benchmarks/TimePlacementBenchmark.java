package org.lockdale.benchmarks;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendWork;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.cache.MissingPrefix;
import org.lockdale.gateway.capacity.EngineCapacity;
import org.lockdale.gateway.cluster.PeerLoads;
import org.lockdale.gateway.configuration.Pool;
import org.lockdale.gateway.placement.BackendChooser;
import org.lockdale.gateway.placement.BackendSelector;
import org.lockdale.gateway.placement.PlacementRequest;
import org.lockdale.gateway.placement.PromptPlacement;
import org.lockdale.gateway.placement.TimeSelector;
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

/**
 * Measures a placement decision of a gateway relay that knows the work of 72 nodes at 63 engines.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class TimePlacementBenchmark {

  private static final int ENGINES = 63;
  private static final int NODES = 72;
  private static final int ZONES = 3;
  private static final int PREFIXES = 300;
  private static final double[] SPEEDS = {0.6, 1, 1.6};

  /** Whether engines are chosen by time or by tokens. */
  @Param({"time", "tokens"})
  public String selection;

  /** Nodes that have work at each engine. */
  @Param({"4", "72"})
  public int reportingNodes;

  private final List<TrackedBackend> engines = new ArrayList<>();
  private BackendSelector selector;
  private int next;

  /** Creates engines with work of some nodes, and prompts of both kinds. */
  @Setup
  public void setUp() {
    PeerLoads loads = new PeerLoads(new VirtualTime());
    for (int engine = 0; engine < ENGINES; engine++) {
      engines.add(engine(engine));
      for (int node = 0; node < Math.min(NODES, reportingNodes); node++) {
        loads.recordReport(
            "node-" + node,
            engines.get(engine).backend().id(),
            new BackendWork(engine * 17 % 400, 800, engine % 2));
      }
    }
    Pool pool = new Pool("pool", 100, Set.of("model"), 87_632, 5);
    selector =
        selection.equals("time")
            ? new TimeSelector(
                loads,
                engine -> {
                  double speed = SPEEDS[(int) Math.floorMod(engine.identity(), 3L)];
                  return new EngineCapacity(20_000, speed, 30 * speed, 40, 1, false, 100);
                },
                name -> Optional.of(pool))
            : new BackendChooser(loads);
  }

  private static TrackedBackend engine(int index) {
    return TrackedBackend.of(
        new Backend(
            "i-" + index,
            "pool",
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
            "zone-" + index % ZONES,
            24,
            false,
            Map.of()));
  }

  /** Places two short prompts for each long one. */
  @Benchmark
  public Optional<TrackedBackend> choice() {
    next++;
    PromptPlacement prompt =
        next % 3 == 0
            ? new PromptPlacement(next % PREFIXES, 6_300, 2_890)
            : new PromptPlacement(next % PREFIXES, 198, 628);
    PlacementRequest request =
        new PlacementRequest(
            "pool",
            "zone-" + next % ZONES,
            engines,
            Set.of(),
            prompt,
            engine -> new MissingPrefix(0, 0, 0));
    return selector.choose(request, next / 200);
  }
}
