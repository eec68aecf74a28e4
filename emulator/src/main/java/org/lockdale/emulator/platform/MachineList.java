package org.lockdale.emulator.platform;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lockdale.coordination.time.Time;

/**
 * The list of live and draining machines, with its earlier versions, so that a stale list can be
 * served. Safe for use by several threads.
 */
public final class MachineList {

  private record Version(long atMillis, List<MachineEntry> entries) {}

  private static final int MAX_VERSIONS = 1_024;

  private final Time time;
  private final Map<String, MachineEntry> entries = new LinkedHashMap<>();
  private final Deque<Version> versions = new ArrayDeque<>();

  /** Creates an empty list. */
  public MachineList(Time time) {
    this.time = time;
    versions.add(new Version(Long.MIN_VALUE, List.of()));
  }

  /** Adds or replaces a machine. */
  public synchronized void put(MachineEntry entry) {
    entries.put(entry.id(), entry);
    addVersion();
  }

  /** Removes a machine. */
  public synchronized void remove(String id) {
    entries.remove(id);
    addVersion();
  }

  private void addVersion() {
    versions.addLast(new Version(time.monotonicMillis(), List.copyOf(entries.values())));
    if (versions.size() > MAX_VERSIONS) {
      versions.removeFirst();
    }
  }

  /**
   * Returns the list as it was some time ago, or the oldest version kept.
   *
   * @param lagMillis age of the wanted list in milliseconds
   */
  public synchronized Collection<MachineEntry> asOf(long lagMillis) {
    long wanted = time.monotonicMillis() - lagMillis;
    List<MachineEntry> found = versions.peekFirst().entries();
    for (Version version : versions) {
      if (version.atMillis() <= wanted) {
        found = version.entries();
      }
    }
    return found;
  }
}
