package org.lockdale.gateway.quarantine.part;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.quarantine.row.RowWriter;
import org.lockdale.gateway.quarantine.row.UnneededRows;
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

  private final PartLedger ledger;
  private final PartTable table;
  private final BooleanSupplier coordinator;
  private final Time time;
  private final Map<PromptPartKey, PartSuspect> recorded = new HashMap<>();

  /** Monotonic times since which rows differ from the ledger. */
  private final Map<PromptPartKey, Long> outdatedSince = new HashMap<>();

  private final UnneededRows<PromptPartKey> unneeded = new UnneededRows<>();
  private final RowWriter<PromptPartKey> writer;

  PartRecorder(
      PartLedger ledger,
      PartTable table,
      BooleanSupplier coordinator,
      Executor eventLoop,
      Time time) {
    this.ledger = ledger;
    this.table = table;
    this.coordinator = coordinator;
    this.time = time;
    this.writer = new RowWriter<>(eventLoop, time, PartRecorder::logFailure);
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
        if (due && !writer.isPaused(now)) {
          write(suspect);
        }
      }
    }
    outdatedSince.keySet().retainAll(outdated);
    if (coordinator.getAsBoolean() && !writer.isPaused(now)) {
      removeUnneeded(now);
    }
  }

  private boolean isOutdated(PartSuspect suspect) {
    PartSuspect row = recorded.get(suspect.part());
    if (row != null) {
      return !row.includes(suspect);
    }
    return suspect.isSignificant()
        && recorded.size() + writer.changingCount() < (suspect.isHeld() ? MAX_HELD_ROWS : MAX_ROWS);
  }

  private void write(PartSuspect suspect) {
    writer.change(
        suspect.part(),
        () -> table.recordPart(suspect),
        () -> recorded.put(suspect.part(), suspect));
  }

  private static void logFailure(PromptPartKey part, Throwable failure) {
    Logger.info("event=part-not-recorded part={} cause={}", part, failure.getMessage());
  }

  private void removeUnneeded(long nowMillis) {
    for (PromptPartKey part : unneeded.due(recorded.keySet(), this::isNeeded, nowMillis)) {
      writer.change(part, () -> table.removePart(part), () -> recorded.remove(part));
    }
  }

  private boolean isNeeded(PromptPartKey part) {
    return ledger.find(part).filter(PartSuspect::isSignificant).isPresent();
  }
}
