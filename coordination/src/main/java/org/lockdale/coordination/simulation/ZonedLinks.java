package org.lockdale.coordination.simulation;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Links that are short within a zone, longer within a region and long between regions, lose a share
 * of messages and can be cut between zones, in one direction or both.
 */
public final class ZonedLinks implements LinkModel {

  private static final long ZONE_MICROS = 250;
  private static final long REGION_MICROS = 1_500;
  private static final long WIDE_MICROS = 40_000;
  private static final int JITTER_DIVISOR = 4;
  private static final int PER_MILLE = 1_000;

  private record Direction(String from, String to) {}

  private final Map<String, String> regionByZone;
  private final Set<Direction> cut = new HashSet<>();
  private int lossPerMille;

  /** Creates links that lose nothing. */
  public ZonedLinks(Map<String, String> regionByZone) {
    this.regionByZone = Map.copyOf(regionByZone);
  }

  /** Sets the share of messages that are lost. */
  public void setLossPerMille(int perMille) {
    lossPerMille = perMille;
  }

  /** Cuts the way from one zone to another; the way back stays. */
  public void cutOneWay(String from, String to) {
    cut.add(new Direction(from, to));
  }

  /** Cuts a zone off from all others. */
  public void cutOff(String zone) {
    for (String other : regionByZone.keySet()) {
      if (!other.equals(zone)) {
        cutOneWay(zone, other);
        cutOneWay(other, zone);
      }
    }
  }

  /** Cuts a region off from all others. */
  public void cutOffRegion(String region) {
    for (Map.Entry<String, String> inside : regionByZone.entrySet()) {
      for (Map.Entry<String, String> outside : regionByZone.entrySet()) {
        boolean crosses = inside.getValue().equals(region) && !outside.getValue().equals(region);
        if (crosses) {
          cutOneWay(inside.getKey(), outside.getKey());
          cutOneWay(outside.getKey(), inside.getKey());
        }
      }
    }
  }

  /** Heals all cuts. */
  public void heal() {
    cut.clear();
  }

  @Override
  public long delayMicros(String fromZone, String toZone, UniformRandomProvider random) {
    boolean lost = random.nextInt(PER_MILLE) < lossPerMille;
    if (lost || cut.contains(new Direction(fromZone, toZone))) {
      return LOST;
    }
    long base = baseMicros(fromZone, toZone);
    return base + random.nextLong(base / JITTER_DIVISOR + 1);
  }

  private long baseMicros(String fromZone, String toZone) {
    if (fromZone.equals(toZone)) {
      return ZONE_MICROS;
    }
    boolean sameRegion = regionByZone.get(fromZone).equals(regionByZone.get(toZone));
    return sameRegion ? REGION_MICROS : WIDE_MICROS;
  }
}
