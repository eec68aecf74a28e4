package org.lockdale.gateway.quarantine.part;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.tinylog.Logger;

/**
 * Keeps the rows of suspected parts in the shared store up to date with the ledger, for nodes that
 * start or were isolated. The coordinating relay node writes them, and any other node does so
 * later, so that they are recorded whatever became of that node. Two nodes may overwrite each
 * other's row; a node that finds a row incomplete writes it again. Runs on one event loop.
 */
final class PartRecorder {

  /** Maximum number of rows of parts that are not held back. */
  private static final int MAX_ROWS = 32;

  /** The same for those that are. */
  private static final int MAX_HELD_ROWS = 256;

  /** Delay before a node that is not the coordinator writes a row. */
  private static final long OTHERS_DELAY_MILLIS = 1_200;

  private static final long RETRY_MILLIS = 500;

  /** Delay before a row is removed; all nodes have read its last state by then. */
  private static final long REMOVE_AFTER_MILLIS = 15_000;

  private final PartLedger ledger;
  private final PartTable table;
  private final BooleanSupplier coordinator;
  private final Executor eventLoop;
  private final Time time;
  private final Map<PromptPartKey, PartSuspect> recorded = new HashMap<>();

  /** Monotonic times since which rows differ from the ledger. */
  private final Map<PromptPartKey, Long> outdatedSince = new HashMap<>();

  /** The same for rows that are not needed any longer. */
  private final Map<PromptPartKey, Long> unneededSince = new HashMap<>();

  private final Set<PromptPartKey> writing = new HashSet<>();
  private long retryAtMillis = Long.MIN_VALUE;
  private boolean failing;

  PartRecorder(
      PartLedger ledger,
      PartTable table,
      BooleanSupplier coordinator,
      Executor eventLoop,
      Time time) {
    this.ledger = ledger;
    this.table = table;
    this.coordinator = coordinator;
    this.eventLoop = eventLoop;
    this.time = time;
  }

  /**
   * Processes all rows of the store.
   *
   * @return rows that are new or changed since the previous reading; others are left out, so that
   *     parts which the ledger has dropped since are not restored from rows that still exist
   */
  List<PartSuspect> update(Collection<PartSuspect> rows) {
    Map<PromptPartKey, PartSuspect> before = Map.copyOf(recorded);
    recorded.clear();
    rows.forEach(row -> recorded.put(row.part(), row));
    return rows.stream().filter(row -> !row.equals(before.get(row.part()))).toList();
  }

  /** Writes and removes the rows that are due; to be called periodically. */
  void tick() {
    long now = time.monotonicMillis();
    Set<PromptPartKey> outdated = new HashSet<>();
    for (PartSuspect suspect : ledger.all()) {
      if (isOutdated(suspect)) {
        outdated.add(suspect.part());
        long since = outdatedSince.computeIfAbsent(suspect.part(), part -> now);
        boolean due = coordinator.getAsBoolean() || now - since >= OTHERS_DELAY_MILLIS;
        if (due && now >= retryAtMillis) {
          write(suspect);
        }
      }
    }
    outdatedSince.keySet().retainAll(outdated);
    if (coordinator.getAsBoolean() && now >= retryAtMillis) {
      removeUnneeded(now);
    }
  }

  private boolean isOutdated(PartSuspect suspect) {
    PartSuspect row = recorded.get(suspect.part());
    if (row != null) {
      return !row.includes(suspect);
    }
    return suspect.isSignificant()
        && recorded.size() + writing.size() < (suspect.isHeld() ? MAX_HELD_ROWS : MAX_ROWS);
  }

  private void write(PartSuspect suspect) {
    if (writing.add(suspect.part())) {
      complete(
          table.recordPart(suspect), suspect.part(), () -> recorded.put(suspect.part(), suspect));
    }
  }

  private void removeUnneeded(long nowMillis) {
    for (PromptPartKey part : List.copyOf(recorded.keySet())) {
      Optional<PartSuspect> known = ledger.find(part);
      if (known.filter(PartSuspect::isSignificant).isPresent()) {
        unneededSince.remove(part);
        continue;
      }
      long since = unneededSince.computeIfAbsent(part, key -> nowMillis);
      if (nowMillis - since >= REMOVE_AFTER_MILLIS && writing.add(part)) {
        complete(table.removePart(part), part, () -> recorded.remove(part));
      }
    }
    unneededSince.keySet().retainAll(recorded.keySet());
  }

  private void complete(
      CompletableFuture<@Nullable Void> change, PromptPartKey part, Runnable onSuccess) {
    change.whenCompleteAsync(
        (@Nullable Void done, @Nullable Throwable failure) -> {
          writing.remove(part);
          if (failure == null) {
            onSuccess.run();
          } else {
            retryAtMillis = time.monotonicMillis() + RETRY_MILLIS;
            if (!failing) {
              Logger.info("event=part-not-recorded part={} cause={}", part, failure.getMessage());
            }
          }
          failing = failure != null;
        },
        eventLoop);
  }
}
