package org.lockdale.coordination.simulation;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Links with low latency within a zone, higher latency between the zones of a region and high
 * latency between regions. They lose a share of messages, and zones can be partitioned in one or
 * both directions.
 */
public final class ZonedLinks implements LinkModel {

  private static final long INTRA_ZONE_MICROS = 250;
  private static final long INTRA_REGION_MICROS = 1_500;
  private static final long INTER_REGION_MICROS = 40_000;
  private static final int JITTER_DIVISOR = 4;
  private static final int PER_MILLE = 1_000;

  private record Direction(String from, String to) {}

  private final Map<String, String> regionByZone;
  private final Set<Direction> partitioned = new HashSet<>();
  private int lossPerMille;

  /** Creates links without losses and partitions. */
  public ZonedLinks(Map<String, String> regionByZone) {
    this.regionByZone = Map.copyOf(regionByZone);
  }

  /** Sets the share of messages that are lost, per mille. */
  public void setLossPerMille(int perMille) {
    lossPerMille = perMille;
  }

  /** Drops all messages from one zone to another, but not those of the opposite direction. */
  public void partitionOneWay(String from, String to) {
    partitioned.add(new Direction(from, to));
  }

  /** Partitions a zone from all other zones, in both directions. */
  public void isolateZone(String zone) {
    for (String other : regionByZone.keySet()) {
      if (!other.equals(zone)) {
        partitionOneWay(zone, other);
        partitionOneWay(other, zone);
      }
    }
  }

  /** Partitions a region from all other regions, in both directions. */
  public void isolateRegion(String region) {
    for (Map.Entry<String, String> inside : regionByZone.entrySet()) {
      for (Map.Entry<String, String> outside : regionByZone.entrySet()) {
        boolean crosses = inside.getValue().equals(region) && !outside.getValue().equals(region);
        if (crosses) {
          partitionOneWay(inside.getKey(), outside.getKey());
          partitionOneWay(outside.getKey(), inside.getKey());
        }
      }
    }
  }

  /** Heals all partitions. */
  public void heal() {
    partitioned.clear();
  }

  @Override
  public long delayMicros(String fromZone, String toZone, UniformRandomProvider random) {
    boolean lost = random.nextInt(PER_MILLE) < lossPerMille;
    if (lost || partitioned.contains(new Direction(fromZone, toZone))) {
      return LOST;
    }
    long base = baseMicros(fromZone, toZone);
    return base + random.nextLong(base / JITTER_DIVISOR + 1);
  }

  private long baseMicros(String fromZone, String toZone) {
    if (fromZone.equals(toZone)) {
      return INTRA_ZONE_MICROS;
    }
    boolean sameRegion = regionByZone.get(fromZone).equals(regionByZone.get(toZone));
    return sameRegion ? INTRA_REGION_MICROS : INTER_REGION_MICROS;
  }
}
