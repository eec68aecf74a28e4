package org.lockdale.gateway.resume;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.table.StoreClock;
import org.tinylog.Logger;

/**
 * Writes origins of streams to the shared store, in batches. A node has a ring of rows, each with
 * the origins of some seconds; the row of the present seconds is replaced as origins are added, and
 * after a turn of the ring the oldest one is. Origins may be added by any thread.
 */
public final class OriginRecorder {

  /** Time that one row covers. */
  static final long ROW_MILLIS = 2_000;

  /** Rows of a node; a caller takes a stream up within the time that they cover together. */
  static final int ROWS = 16;

  /** Time for which a stored origin can be found. */
  static final long COVERED_MILLIS = ROWS * ROW_MILLIS;

  /** Maximum number of origins in a row, which stays well below the store's limit. */
  static final int MAX_ORIGINS_IN_ROW = 400;

  /** Bounds the memory while the store does not take the origins. */
  private static final int MAX_WAITING = 8_000;

  private static final long MIN_INTERVAL_MILLIS = 20;

  /** Maximum number of writes a second of all nodes together. */
  private static final int FLEET_WRITES_PER_SECOND = 200;

  private static final long RETRY_MILLIS = 250;
  private static final long NONE = Long.MIN_VALUE;

  /**
   * Dependencies of a recorder.
   *
   * @param nodeId id of this node
   * @param store store of the origins
   * @param nodes supplies the number of nodes, or 0 while it is unknown
   * @param clock the store's clock
   * @param executor runs the writes, in one thread
   * @param time clock
   */
  public record Context(
      String nodeId,
      OriginStore store,
      IntSupplier nodes,
      StoreClock clock,
      ScheduledExecutorService executor,
      Time time) {}

  private record Waiting(StreamId id, StreamOrigin origin) {}

  private final Context context;
  private final Queue<Waiting> waiting = new ConcurrentLinkedQueue<>();
  private final AtomicInteger waitingCount = new AtomicInteger();
  private final AtomicBoolean scheduled = new AtomicBoolean();
  private final Map<StreamId, StreamOrigin> row = new LinkedHashMap<>();
  private long firstPeriod = NONE;
  private long rowPeriod = NONE;
  private int rowOverflow;
  private long nextWriteAtMillis;
  private boolean failing;

  /** Creates a recorder. */
  public OriginRecorder(Context context) {
    this.context = context;
  }

  /** Adds origins, which are written soon. */
  public void add(Map<StreamId, StreamOrigin> origins) {
    enqueue(origins);
    schedule();
  }

  private void enqueue(Map<StreamId, StreamOrigin> origins) {
    origins.forEach(
        (id, origin) -> {
          if (waitingCount.get() < MAX_WAITING) {
            waitingCount.incrementAndGet();
            waiting.add(new Waiting(id, origin));
          }
        });
  }

  private void schedule() {
    if (scheduled.compareAndSet(false, true)) {
      context.executor().execute(this::scheduleNext);
    }
  }

  private void scheduleNext() {
    long delay = Math.max(0, nextWriteAtMillis - context.time().monotonicMillis());
    context.executor().schedule(this::write, delay, TimeUnit.MILLISECONDS);
  }

  private void write() {
    nextWriteAtMillis = context.time().monotonicMillis() + intervalMillis();
    startRowIfDue();
    Map<StreamId, StreamOrigin> added = new HashMap<>();
    while (row.size() + added.size() < MAX_ORIGINS_IN_ROW && !waiting.isEmpty()) {
      Waiting next = waiting.remove();
      waitingCount.decrementAndGet();
      added.put(next.id(), next.origin());
    }
    row.putAll(added);
    context
        .store()
        .writeOrigins(rowKey(), Map.copyOf(row))
        .whenCompleteAsync((done, failure) -> onWritten(added, failure), context.executor());
  }

  private long intervalMillis() {
    long share = 1_000L * context.nodes().getAsInt() / FLEET_WRITES_PER_SECOND;
    return Math.max(MIN_INTERVAL_MILLIS, share);
  }

  /**
   * Starts the row of the present period. The row of the period in which this process began may be
   * that of its predecessor, so it is left alone.
   */
  private void startRowIfDue() {
    long now = context.time().monotonicMillis();
    long period = Math.floorDiv(context.clock().storeMillis(now), ROW_MILLIS);
    if (firstPeriod == NONE) {
      firstPeriod = period + 1;
    }
    period = Math.max(period, firstPeriod);
    if (period > rowPeriod) {
      rowPeriod = period;
      rowOverflow = 0;
      row.clear();
    } else if (row.size() >= MAX_ORIGINS_IN_ROW) {
      rowOverflow++;
      row.clear();
    }
  }

  private String rowKey() {
    String key = context.nodeId() + "/" + Math.floorMod(rowPeriod, ROWS);
    return rowOverflow == 0 ? key : key + "-" + rowOverflow;
  }

  private void onWritten(Map<StreamId, StreamOrigin> added, @Nullable Throwable failure) {
    if (failure != null) {
      nextWriteAtMillis = context.time().monotonicMillis() + RETRY_MILLIS;
      row.keySet().removeAll(added.keySet());
      enqueue(added);
      logFailure(failure);
      scheduleNext();
      return;
    }
    failing = false;
    scheduled.set(false);
    if (!waiting.isEmpty()) {
      schedule();
    }
  }

  private void logFailure(Throwable failure) {
    if (!failing) {
      failing = true;
      Logger.info(
          "event=stream-origins-not-stored waiting={} cause=\"{}\"",
          waitingCount.get(),
          failure.getMessage());
    }
  }
}
