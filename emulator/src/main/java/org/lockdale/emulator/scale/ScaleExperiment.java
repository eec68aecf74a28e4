package org.lockdale.emulator.scale;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lockdale.coordination.membership.Member;
import org.lockdale.coordination.membership.MembershipSettings;
import org.lockdale.coordination.simulation.SimulatedCluster;
import org.lockdale.coordination.simulation.SimulatedNode;
import org.lockdale.coordination.simulation.ZonedLinks;
import org.lockdale.protocol.generated.ConfigurationChange;
import org.lockdale.protocol.generated.MemberStatus;
import org.lockdale.protocol.generated.ResourceRecord;

/** Runs the daemon's coordination classes as hollow nodes and measures what they cost. */
public final class ScaleExperiment implements SimulatedCluster.Observer {

  private static final int RESOURCE_BYTES = 400;
  private static final int CHANGES = 10;
  private static final int DEATHS = 4;
  private static final long CONVERGENCE_BOUND_MILLIS = 600_000;
  private static final long CUT_MILLIS = 60_000;
  private static final long CHANGE_INTERVAL_MILLIS = 8_000;
  private static final double NANOS_PER_MICRO = 1_000;

  private final ScaleSettings settings;
  private final SimulatedCluster cluster;
  private final Map<Long, Long> acceptedAt = new HashMap<>();
  private final Map<Long, List<Long>> reachedAfter = new HashMap<>();
  private final Map<String, Long> diedAt = new HashMap<>();
  private final List<Long> detections = new ArrayList<>();
  private long version;
  private int falseDeaths;
  private boolean measuringChanges;

  private ScaleExperiment(ScaleSettings settings) {
    this.settings = settings;
    Map<String, String> regions = new HashMap<>();
    for (int zone = 0; zone < settings.zones(); zone++) {
      regions.put(zoneName(zone), "region-" + zone % settings.regions());
    }
    ZonedLinks links = new ZonedLinks(regions);
    this.cluster =
        new SimulatedCluster(settings.seed(), links, MembershipSettings.defaults(), this);
  }

  private static String zoneName(int zone) {
    return "zone-" + zone;
  }

  /** Runs the experiment. */
  public static ScaleReport run(ScaleSettings settings) {
    return new ScaleExperiment(settings).run();
  }

  private ScaleReport run() {
    long heapBefore = usedHeap();
    for (int node = 0; node < settings.nodes(); node++) {
      cluster.add("node-" + node, zoneName(node % settings.zones()));
    }
    long joinMillis = cluster.runUntilConverged(CONVERGENCE_BOUND_MILLIS);
    cluster.links().setLossPerMille(settings.lossPerMille());
    cluster.time().runMillis(60_000);
    long heapPerNode = (usedHeap() - heapBefore) / settings.nodes();
    Steady steady = measureSteady();
    double changeBytes = measureChanges(steady.bytesPerSecond());
    measureDeaths();
    ZoneCut zoneCut = measureZoneCut();
    Herd herd = measureHerd();
    List<Long> slowest = slowestOfEachChange();
    Collections.sort(detections);
    return new ScaleReport(
        settings.nodes(),
        settings.zones(),
        joinMillis,
        steady.bytesPerSecond(),
        steady.messagesPerSecond(),
        steady.processorMicrosPerSecond(),
        steady.falseDeaths(),
        slowest.get(slowest.size() / 2),
        slowest.get(slowest.size() - 1),
        changeBytes,
        detections.isEmpty() ? -1 : detections.get(detections.size() / 2),
        detections.isEmpty() ? -1 : detections.get(detections.size() - 1),
        zoneCut.worstBytes(),
        zoneCut.healMillis(),
        zoneCut.changeMillis(),
        herd.worstBytes(),
        herd.millis(),
        heapPerNode);
  }

  private record Steady(
      double bytesPerSecond,
      double messagesPerSecond,
      double processorMicrosPerSecond,
      int falseDeaths) {}

  private record ZoneCut(long worstBytes, long healMillis, long changeMillis) {}

  private record Herd(long worstBytes, long millis) {}

  private Steady measureSteady() {
    cluster.resetMeters();
    falseDeaths = 0;
    cluster.time().runMillis(settings.steadySeconds() * 1_000L);
    long bytes = 0;
    long messages = 0;
    long nanos = 0;
    for (SimulatedNode node : cluster.nodes()) {
      bytes += node.meter().bytes();
      messages += node.meter().messages();
      nanos += node.meter().processorNanos();
    }
    double nodeSeconds = (double) settings.nodes() * settings.steadySeconds();
    return new Steady(
        bytes / nodeSeconds,
        messages / nodeSeconds,
        nanos / NANOS_PER_MICRO / nodeSeconds,
        falseDeaths);
  }

  private double measureChanges(double steadyBytesPerSecond) {
    cluster.resetMeters();
    measuringChanges = true;
    for (int change = 0; change < CHANGES; change++) {
      acceptAt(cluster.nodes().get(change * 7 % settings.nodes()));
      cluster.time().runMillis(CHANGE_INTERVAL_MILLIS);
    }
    measuringChanges = false;
    long bytes = cluster.nodes().stream().mapToLong(node -> node.meter().bytes()).sum();
    double perNode = (double) bytes / settings.nodes();
    double steady = steadyBytesPerSecond * CHANGES * CHANGE_INTERVAL_MILLIS / 1_000;
    return (perNode - steady) / CHANGES;
  }

  private void acceptAt(SimulatedNode node) {
    version++;
    ResourceRecord resource =
        new ResourceRecord("Tenant", "tenant-" + version, ByteBuffer.allocate(RESOURCE_BYTES));
    ConfigurationChange change =
        new ConfigurationChange(version, "change-" + version, "scale", 0L, List.of(resource));
    acceptedAt.put(version, cluster.time().monotonicMillis());
    cluster.accept(node, change);
  }

  private List<Long> slowestOfEachChange() {
    List<Long> slowest = new ArrayList<>();
    for (long change = 1; change <= CHANGES; change++) {
      List<Long> reached = reachedAfter.getOrDefault(change, List.of());
      boolean everywhere = reached.size() >= settings.nodes();
      slowest.add(everywhere ? Collections.max(reached) : Long.MAX_VALUE);
    }
    Collections.sort(slowest);
    return slowest;
  }

  private void measureDeaths() {
    List<SimulatedNode> victims = new ArrayList<>();
    for (int index = 0; index < Math.min(DEATHS, settings.nodes() / 4); index++) {
      victims.add(cluster.nodes().get(settings.nodes() - 1 - index * 3 % settings.nodes()));
    }
    for (SimulatedNode victim : victims) {
      victim.kill();
      diedAt.put(victim.id(), cluster.time().monotonicMillis());
    }
    cluster.time().runMillis(60_000);
    diedAt.clear();
    victims.forEach(cluster::restart);
    cluster.runUntilConverged(CONVERGENCE_BOUND_MILLIS);
  }

  private ZoneCut measureZoneCut() {
    String zone = zoneName(settings.zones() - 1);
    cluster.resetMeters();
    cluster.links().cutOff(zone);
    cluster.time().runMillis(CUT_MILLIS);
    acceptAt(cluster.nodes().get(0));
    cluster.time().runMillis(CHANGE_INTERVAL_MILLIS);
    long changeDuringCut = version;
    cluster.links().heal();
    long healedAt = cluster.time().monotonicMillis();
    long changeMillis = -1;
    Set<SimulatedNode> behind = new HashSet<>();
    for (SimulatedNode node : cluster.nodes()) {
      if (node.zone().equals(zone)) {
        behind.add(node);
      }
    }
    while (!behind.isEmpty()
        && cluster.time().monotonicMillis() - healedAt < CONVERGENCE_BOUND_MILLIS) {
      cluster.time().runMillis(50);
      behind.removeIf(node -> node.configuration().version() >= changeDuringCut);
      changeMillis = cluster.time().monotonicMillis() - healedAt;
    }
    cluster.runUntilConverged(CONVERGENCE_BOUND_MILLIS);
    long healMillis = cluster.time().monotonicMillis() - healedAt;
    return new ZoneCut(worstBytes(), healMillis, changeMillis);
  }

  private Herd measureHerd() {
    cluster.resetMeters();
    cluster.nodes().forEach(SimulatedNode::kill);
    cluster.nodes().forEach(cluster::restart);
    long millis = cluster.runUntilConverged(CONVERGENCE_BOUND_MILLIS);
    return new Herd(worstBytes(), millis);
  }

  private long worstBytes() {
    return cluster.nodes().stream()
        .mapToLong(node -> node.meter().worstSecondBytes())
        .max()
        .orElse(0);
  }

  private static long usedHeap() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  @Override
  public void memberChanged(SimulatedNode node, Member member) {
    if (member.status() != MemberStatus.DEAD) {
      return;
    }
    Long died = diedAt.get(member.id());
    if (died != null) {
      detections.add(cluster.time().monotonicMillis() - died);
    } else {
      falseDeaths++;
    }
  }

  @Override
  public void configurationChanged(SimulatedNode node, long reached) {
    Long accepted = acceptedAt.get(reached);
    if (accepted != null && measuringChanges) {
      reachedAfter
          .computeIfAbsent(reached, absent -> new ArrayList<>())
          .add(cluster.time().monotonicMillis() - accepted);
    }
  }
}
