package org.lockdale.gateway.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects the observations that are due to be reported. Performs no I/O; the time is passed in. Not
 * thread-safe.
 */
public final class ObservationSchedule {

  /** Engines that were quiet for this long are reported each time: they may be silent. */
  static final long QUIET_MILLIS = 200;

  /**
   * Engines that were heard are reported at each second check, at half of the shortest silence, so
   * that the relays don't take an engine for silent that one node hears. Checks are 100 ms apart
   * and may come early, hence the margin of half a check.
   */
  private static final long HEARD_INTERVAL_MILLIS = 150;

  private static final long OPEN_INTERVAL_MILLIS = 450;

  private record Reported(EngineUse use, long atMillis) {}

  private final Map<String, Reported> lastReported = new HashMap<>();

  /**
   * Returns the uses that are due, and counts them as reported.
   *
   * @param uses present use of each engine
   * @param nowMillis steady time in milliseconds
   */
  public List<EngineUse> due(List<EngineUse> uses, long nowMillis) {
    List<EngineUse> due = new ArrayList<>();
    for (EngineUse use : uses) {
      if (isDue(use, lastReported.get(use.engine()), nowMillis)) {
        due.add(use);
        lastReported.put(use.engine(), new Reported(use, nowMillis));
      }
    }
    Set<String> present = new HashSet<>();
    uses.forEach(use -> present.add(use.engine()));
    lastReported.keySet().retainAll(present);
    return due;
  }

  private static boolean isDue(EngineUse use, Reported last, long nowMillis) {
    if (last == null) {
      return true;
    }
    EngineUse before = last.use();
    long elapsed = nowMillis - last.atMillis();
    boolean changed =
        use.openRequests() != before.openRequests()
            || use.reservedTokens() != before.reservedTokens();
    boolean heard = use.heardAgeMillis() >= 0 && use.heardAgeMillis() < elapsed;
    boolean wasQuiet = before.quietMillis() >= QUIET_MILLIS;
    return changed
        || use.quietMillis() >= QUIET_MILLIS
        || heard && (wasQuiet || elapsed >= HEARD_INTERVAL_MILLIS)
        || use.openRequests() > 0 && elapsed >= OPEN_INTERVAL_MILLIS;
  }
}
