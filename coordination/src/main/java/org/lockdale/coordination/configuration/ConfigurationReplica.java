package org.lockdale.coordination.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.lockdale.protocol.generated.ConfigurationChange;
import org.lockdale.protocol.generated.ConfigurationTransfer;

/**
 * One node's copy of the configuration. Its version only rises, whatever arrives in whatever order:
 * a change is applied only right after its predecessor, a snapshot only if it is newer. Not safe
 * for use by several threads.
 */
public final class ConfigurationReplica {

  /** Changes kept to bring others up to date without a snapshot: about four hours at peak rate. */
  private static final int MAX_RECENT_CHANGES = 512;

  private final Deque<ConfigurationChange> recent = new ArrayDeque<>();
  private ConfigurationState state = ConfigurationState.EMPTY;

  /** Returns the state in force. */
  public ConfigurationState state() {
    return state;
  }

  /** Returns the version in force. */
  public long version() {
    return state.version();
  }

  /**
   * Applies what is new of a transfer.
   *
   * @return whether the version rose
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
        remember(change);
      }
    }
    return state.version() > before;
  }

  private void remember(ConfigurationChange change) {
    recent.addLast(change);
    if (recent.size() > MAX_RECENT_CHANGES) {
      recent.removeFirst();
    }
  }

  /**
   * Returns what a node at a version lacks: changes where they are still known, else a snapshot.
   */
  public ConfigurationTransfer transferAfter(long version) {
    if (version >= state.version()) {
      return new ConfigurationTransfer(null, List.of());
    }
    boolean historyReachesBack =
        !recent.isEmpty() && recent.peekFirst().getVersion() <= version + 1;
    if (!historyReachesBack) {
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
