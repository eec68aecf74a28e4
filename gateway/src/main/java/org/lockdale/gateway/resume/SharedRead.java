package org.lockdale.gateway.resume;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.tinylog.Logger;

/**
 * A read of the store that many requests share. Each request gets the result of a read that starts
 * after it has asked; reads start at limited intervals, since callers take up hundreds of streams
 * at the moment at which the nodes are back. Thread-safe.
 *
 * @param <T> type of what is read
 */
final class SharedRead<T> {

  private static final long MIN_INTERVAL_MILLIS = 100;

  /** Bounds the reads of a large fleet. */
  private static final long INTERVAL_MILLIS_PER_NODE = 2;

  private final Supplier<CompletableFuture<T>> source;
  private final IntSupplier nodes;
  private final ScheduledExecutorService executor;
  private final Time time;
  private @Nullable CompletableFuture<Optional<T>> next;
  private long nextAtMillis;

  /**
   * Creates a read.
   *
   * @param source starts a read of the store
   * @param nodes supplies the number of nodes
   * @param executor runs the reads, in one thread
   * @param time clock
   */
  SharedRead(
      Supplier<CompletableFuture<T>> source,
      IntSupplier nodes,
      ScheduledExecutorService executor,
      Time time) {
    this.source = source;
    this.nodes = nodes;
    this.executor = executor;
    this.time = time;
  }

  /** Returns the result of a read that starts after this call, or empty if it fails. */
  synchronized CompletableFuture<Optional<T>> get() {
    CompletableFuture<Optional<T>> result = next;
    if (result == null) {
      result = new CompletableFuture<>();
      next = result;
      long delay = Math.max(0, nextAtMillis - time.monotonicMillis());
      executor.schedule(this::read, delay, TimeUnit.MILLISECONDS);
    }
    return result;
  }

  private void read() {
    CompletableFuture<Optional<T>> result = takeNext();
    source.get().whenComplete((value, failure) -> complete(result, value, failure));
  }

  private synchronized CompletableFuture<Optional<T>> takeNext() {
    CompletableFuture<Optional<T>> result = next;
    next = null;
    long interval = INTERVAL_MILLIS_PER_NODE * nodes.getAsInt();
    nextAtMillis = time.monotonicMillis() + Math.max(MIN_INTERVAL_MILLIS, interval);
    return result == null ? new CompletableFuture<>() : result;
  }

  private static <T> void complete(
      CompletableFuture<Optional<T>> result, @Nullable T value, @Nullable Throwable failure) {
    if (failure != null) {
      Logger.info("event=stream-origins-not-read cause=\"{}\"", failure.getMessage());
    }
    result.complete(Optional.ofNullable(value));
  }
}
