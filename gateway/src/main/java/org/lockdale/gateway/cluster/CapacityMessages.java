package org.lockdale.gateway.cluster;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lockdale.gateway.capacity.AttemptTiming;
import org.lockdale.gateway.capacity.EngineCapacity;
import org.lockdale.gateway.capacity.EngineUse;
import org.lockdale.protocol.generated.AttemptTimingRecord;
import org.lockdale.protocol.generated.EngineCapacityRecord;
import org.lockdale.protocol.generated.EngineCapacitySummary;
import org.lockdale.protocol.generated.EngineUseRecord;

/** Converts what is known of engines to and from messages. */
final class CapacityMessages {

  private static final long UNKNOWN = -1;

  private CapacityMessages() {}

  static EngineUseRecord write(EngineUse use) {
    return new EngineUseRecord(
        use.engine(),
        use.reservedTokens(),
        use.openRequests(),
        toInt(use.heardAgeMillis()),
        toInt(use.waitingMillis()));
  }

  static EngineUse read(EngineUseRecord use) {
    return new EngineUse(
        use.getEngine(),
        use.getReservedTokens(),
        use.getOpenRequests(),
        use.getHeardAgeMillis(),
        use.getWaitingMillis());
  }

  static AttemptTimingRecord write(AttemptTiming timing) {
    return new AttemptTimingRecord(
        timing.engine(),
        timing.computedTokens(),
        timing.waitingTokens(),
        timing.openRequests(),
        toInt(timing.firstMillis()),
        toInt(timing.typicalGapMillis()),
        toInt(timing.longestGapMillis()));
  }

  static AttemptTiming read(AttemptTimingRecord timing) {
    return new AttemptTiming(
        timing.getEngine(),
        timing.getComputedTokens(),
        timing.getWaitingTokens(),
        timing.getOpenRequests(),
        timing.getFirstMillis(),
        timing.getTypicalGapMillis(),
        timing.getLongestGapMillis());
  }

  static EngineCapacityRecord write(String engine, EngineCapacity capacity) {
    boolean observed = capacity.ageMillis() != Long.MAX_VALUE;
    return new EngineCapacityRecord(
        engine,
        capacity.reservedTokens(),
        capacity.speed(),
        capacity.tokensPerMilli(),
        capacity.gapMillis(),
        capacity.slowdown(),
        capacity.silent(),
        toInt(observed ? capacity.ageMillis() : UNKNOWN));
  }

  /**
   * Reads a summary.
   *
   * @throws IllegalArgumentException if a speed or slowdown is not a positive number, or another
   *     value is negative
   */
  static Map<String, EngineCapacity> read(EngineCapacitySummary summary) {
    Map<String, EngineCapacity> capacities = new HashMap<>();
    List<EngineCapacityRecord> engines = summary.getEngines();
    for (EngineCapacityRecord engine : engines) {
      boolean valid =
          engine.getSpeed() > 0
              && engine.getSlowdown() >= 1
              && engine.getTokensPerMilli() >= 0
              && engine.getGapMillis() >= 0
              && engine.getReservedTokens() >= 0;
      if (!valid) {
        throw new IllegalArgumentException(
            "the capacity of " + engine.getEngine() + " is out of range; ignore the summary");
      }
      int age = engine.getAgeMillis();
      capacities.put(
          engine.getEngine(),
          new EngineCapacity(
              engine.getReservedTokens(),
              engine.getSpeed(),
              engine.getTokensPerMilli(),
              engine.getGapMillis(),
              engine.getSlowdown(),
              engine.getSilent(),
              age < 0 ? Long.MAX_VALUE : age));
    }
    return capacities;
  }

  private static int toInt(long millis) {
    return (int) Math.min(Integer.MAX_VALUE, millis);
  }
}
