package org.lockdale.experiments;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.emulator.engine.LoadReport;
import org.lockdale.router.engine.EngineActivity;
import org.lockdale.router.engine.EngineLoad;
import org.lockdale.router.engine.EngineTable;
import org.lockdale.router.engine.EngineView;
import org.lockdale.router.placement.PopularityCounter;
import org.lockdale.router.placement.PrefixIndex;

/**
 * State of the cluster as known to one node: the last reported loads, and the prefixes of its
 * requests that engines finished.
 */
final class SimulatedNodeView {

  private static final long SAME_ZONE_REPORT_MICROS = 250_000;
  private static final long OTHER_ZONE_REPORT_MICROS = 1_000_000;
  private static final int PREFIX_CAPACITY = 131_072;
  private static final long PREFIX_LIFETIME_MILLIS = 30_000;
  private static final InetSocketAddress PLACEHOLDER_ADDRESS =
      InetSocketAddress.createUnresolved("simulated", 1);

  private final String zone;
  private final VirtualTime time;
  private final PrefixIndex prefixes = new PrefixIndex(PREFIX_CAPACITY, PREFIX_LIFETIME_MILLIS);
  private final PopularityCounter popularity = new PopularityCounter();
  private final Map<String, EngineActivity> activities = new HashMap<>();
  private final Map<String, EngineView> views = new HashMap<>();
  private EngineTable table = EngineTable.EMPTY;

  SimulatedNodeView(String zone, VirtualTime time, List<SimulatedEngine> engines) {
    this.zone = zone;
    this.time = time;
    for (SimulatedEngine engine : engines) {
      activities.put(engine.id(), new EngineActivity());
      refresh(engine);
    }
  }

  String zone() {
    return zone;
  }

  PrefixIndex prefixes() {
    return prefixes;
  }

  PopularityCounter popularity() {
    return popularity;
  }

  EngineTable engines() {
    return table;
  }

  EngineActivity activityOf(SimulatedEngine engine) {
    return activities.get(engine.id());
  }

  private void refresh(SimulatedEngine engine) {
    LoadReport report = engine.report();
    EngineActivity activity = activities.get(engine.id());
    activity.resetSinceReport();
    EngineLoad load =
        new EngineLoad(
            report.running(),
            report.queued(),
            report.queuedPromptTokens(),
            report.maxRunning(),
            report.prefillTokensPerSecond(),
            time.monotonicMillis());
    views.put(
        engine.id(),
        new EngineView(
            engine.id(),
            engine.identity(),
            PLACEHOLDER_ADDRESS,
            engine.zone(),
            Map.of(),
            engine.incarnation(),
            Map.of("model", "v1"),
            false,
            load,
            activity));
    List<EngineView> all = new ArrayList<>(views.values());
    all.sort((left, right) -> left.id().compareTo(right.id()));
    table = new EngineTable(List.copyOf(all));
    long interval = engine.zone().equals(zone) ? SAME_ZONE_REPORT_MICROS : OTHER_ZONE_REPORT_MICROS;
    time.schedule(interval, () -> refresh(engine));
  }
}
