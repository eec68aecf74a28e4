package org.lockdale.coordination.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.lockdale.protocol.generated.ConfigurationChange;
import org.lockdale.protocol.generated.ConfigurationTransfer;

/**
 * The configuration at one node. Its version never decreases, regardless of the order in which
 * transfers arrive: a change is applied only to the version directly before it, and a snapshot only
 * if it is newer. Not safe for use by several threads.
 */
public final class ConfigurationReplica {

  /**
   * Number of changes kept to update other nodes without a snapshot; covers about four hours at the
   * peak rate of edits.
   */
  private static final int MAX_RECENT_CHANGES = 512;

  private final Deque<ConfigurationChange> recent = new ArrayDeque<>();
  private ConfigurationState state = ConfigurationState.EMPTY;

  /** Returns the current state. */
  public ConfigurationState state() {
    return state;
  }

  /** Returns the current version. */
  public long version() {
    return state.version();
  }

  /**
   * Applies the parts of a transfer that are newer than the current version.
   *
   * @return whether the version increased
   */
  public boolean apply(ConfigurationTransfer transfer) {
    long before = state.version();
    if (transfer.getSnapshot() != null && transfer.getSnapshot().getVersion() > before) {
      state = ConfigurationState.of(transfer.getSnapshot());
      recent.clear();
    }
    for (ConfigurationChange change : transfer.getChanges()) {
      if (change.getVersion() == state.version() + 1) {
        state = state.apply(change);
        addRecent(change);
      }
    }
    return state.version() > before;
  }

  private void addRecent(ConfigurationChange change) {
    recent.addLast(change);
    if (recent.size() > MAX_RECENT_CHANGES) {
      recent.removeFirst();
    }
  }

  /**
   * Returns what a node at a version is missing: the later changes if all of them are kept,
   * otherwise a snapshot.
   */
  public ConfigurationTransfer transferAfter(long version) {
    if (version >= state.version()) {
      return new ConfigurationTransfer(null, List.of());
    }
    boolean coveredByRecent = !recent.isEmpty() && recent.peekFirst().getVersion() <= version + 1;
    if (!coveredByRecent) {
      return new ConfigurationTransfer(state.toSnapshot(), List.of());
    }
    List<ConfigurationChange> changes = new ArrayList<>();
    for (ConfigurationChange change : recent) {
      if (change.getVersion() > version) {
        changes.add(change);
      }
    }
    return new ConfigurationTransfer(null, changes);
  }
}
