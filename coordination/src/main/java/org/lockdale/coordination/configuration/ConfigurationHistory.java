package org.lockdale.coordination.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lockdale.coordination.concurrent.Failures;
import org.lockdale.coordination.table.TableRow;
import org.lockdale.coordination.table.TableService;
import org.lockdale.coordination.table.TableServiceException;
import org.lockdale.protocol.MessageCodec;
import org.lockdale.protocol.generated.ConfigurationChange;
import org.lockdale.protocol.generated.ConfigurationSnapshot;
import org.lockdale.protocol.generated.ConfigurationTransfer;

/**
 * The accepted configuration in the table service: one row for each change, and a periodic
 * snapshot. An edit that is based on version {@code n} is accepted by creating the row of version
 * {@code n + 1}. As a row can be created only once, exactly one of several concurrent edits is
 * accepted, and an accepted edit is never overwritten. Safe for use by several threads.
 */
public final class ConfigurationHistory {

  /** Table that holds the rows. */
  public static final String TABLE = "configuration";

  private static final String SNAPSHOT_KEY = "snapshot";
  private static final int SNAPSHOT_INTERVAL = 64;
  private static final int MAX_CHANGES_PER_READ = 256;
  private static final int MAX_WRITE_ATTEMPTS = 4;

  private final TableService tables;
  private final MessageCodec<ConfigurationChange> changeCodec = MessageCodec.configurationChanges();
  private final MessageCodec<ConfigurationSnapshot> snapshotCodec =
      MessageCodec.configurationSnapshots();

  /** Creates a history that is stored in a table service. */
  public ConfigurationHistory(TableService tables) {
    this.tables = tables;
  }

  private static String keyOf(long version) {
    return String.format("change-%012d", version);
  }

  /**
   * Proposes an edit.
   *
   * @param change the edit; its version is one above the version on which it is based
   * @return the accepted change; fails with {@link ConfigurationConflictException} if another edit
   *     was accepted first, and with {@link TableServiceException} if a call to the service failed
   */
  public CompletableFuture<ConfigurationChange> propose(ConfigurationChange change) {
    return propose(change, MAX_WRITE_ATTEMPTS);
  }

  private CompletableFuture<ConfigurationChange> propose(
      ConfigurationChange change, int attemptsLeft) {
    String key = keyOf(change.getVersion());
    return tables
        .create(TABLE, key, changeCodec.encode(change))
        .handle((row, failure) -> handleCreateResult(change, failure, attemptsLeft))
        .thenCompose(result -> result);
  }

  private CompletableFuture<ConfigurationChange> handleCreateResult(
      ConfigurationChange change, Throwable failure, int attemptsLeft) {
    if (failure == null) {
      return CompletableFuture.completedFuture(change);
    }
    TableServiceException cause = asTableFailure(failure);
    if (cause.kind() == TableServiceException.Kind.CONDITION_FAILED) {
      return compareWithAccepted(change);
    }
    boolean mayHaveTakenEffect = cause.kind() == TableServiceException.Kind.OUTCOME_UNKNOWN;
    if (mayHaveTakenEffect && attemptsLeft > 1) {
      // Creating the row again is safe: if the first call took effect, the row has the id of this
      // change.
      return propose(change, attemptsLeft - 1);
    }
    return CompletableFuture.failedFuture(cause);
  }

  private CompletableFuture<ConfigurationChange> compareWithAccepted(ConfigurationChange change) {
    return readChange(change.getVersion())
        .thenApply(
            found -> {
              ConfigurationChange accepted = found.orElseThrow();
              if (accepted.getChangeId().equals(change.getChangeId())) {
                return accepted;
              }
              throw new ConfigurationConflictException(
                  change.getVersion() - 1, accepted.getVersion(), accepted.getAuthor());
            });
  }

  private CompletableFuture<Optional<ConfigurationChange>> readChange(long version) {
    return tables
        .read(TABLE, keyOf(version))
        .thenApply(row -> row.map(found -> changeCodec.decode(found.value())));
  }

  /**
   * Reads changes that were accepted after a version; one call returns a limited number of them.
   *
   * @param version the last version that the reader has; 0 for none
   * @return the changes, with the snapshot (if there is one) if {@code version} is 0
   */
  public CompletableFuture<ConfigurationTransfer> readAfter(long version) {
    if (version > 0) {
      return readChanges(version, new ArrayList<>())
          .thenApply(changes -> new ConfigurationTransfer(null, changes));
    }
    return tables
        .read(TABLE, SNAPSHOT_KEY)
        .thenCompose(row -> readAfterSnapshot(row.map(found -> decodeSnapshot(found))));
  }

  private ConfigurationSnapshot decodeSnapshot(TableRow row) {
    return snapshotCodec.decode(row.value());
  }

  private CompletableFuture<ConfigurationTransfer> readAfterSnapshot(
      Optional<ConfigurationSnapshot> snapshot) {
    long from = snapshot.map(ConfigurationSnapshot::getVersion).orElse(0L);
    return readChanges(from, new ArrayList<>())
        .thenApply(changes -> new ConfigurationTransfer(snapshot.orElse(null), changes));
  }

  private CompletableFuture<List<ConfigurationChange>> readChanges(
      long after, List<ConfigurationChange> collected) {
    if (collected.size() >= MAX_CHANGES_PER_READ) {
      return CompletableFuture.completedFuture(collected);
    }
    return readChange(after + 1)
        .handle((found, failure) -> continueReading(after, found, failure, collected))
        .thenCompose(changes -> changes);
  }

  private CompletableFuture<List<ConfigurationChange>> continueReading(
      long after,
      Optional<ConfigurationChange> found,
      Throwable failure,
      List<ConfigurationChange> collected) {
    if (failure != null && collected.isEmpty()) {
      return CompletableFuture.failedFuture(asTableFailure(failure));
    }
    if (failure != null || found.isEmpty()) {
      // Keeps a partial result: otherwise a reader that is far behind would never catch up if calls
      // to the service fail occasionally.
      return CompletableFuture.completedFuture(collected);
    }
    collected.add(found.get());
    return readChanges(after + 1, collected);
  }

  /** Returns whether a snapshot is due at a version. */
  public static boolean isSnapshotDue(long version) {
    return version % SNAPSHOT_INTERVAL == 0;
  }

  /**
   * Writes a snapshot unless one of the same or a newer version is stored, so that a starting node
   * need not read all changes.
   */
  public CompletableFuture<Void> writeSnapshot(ConfigurationState state) {
    byte[] value = snapshotCodec.encode(state.toSnapshot());
    return tables
        .read(TABLE, SNAPSHOT_KEY)
        .thenCompose(
            row -> {
              if (row.isEmpty()) {
                return tables.create(TABLE, SNAPSHOT_KEY, value);
              }
              if (decodeSnapshot(row.get()).getVersion() >= state.version()) {
                return CompletableFuture.completedFuture(row.get());
              }
              return tables.replace(TABLE, SNAPSHOT_KEY, value, row.get().version());
            })
        .thenApply(row -> null);
  }

  private static TableServiceException asTableFailure(Throwable failure) {
    Throwable cause = Failures.causeOf(failure);
    if (cause instanceof TableServiceException known) {
      return known;
    }
    return new TableServiceException(
        TableServiceException.Kind.OUTCOME_UNKNOWN, String.valueOf(cause));
  }
}
