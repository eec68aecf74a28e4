package org.lockdale.gateway.quarantine.row;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;

/**
 * Changes rows of the shared store, each row by one call at a time, and pauses after a failed call.
 * Runs on one event loop.
 *
 * @param <K> type of the keys of the rows
 */
public final class RowWriter<K> {

  /** Pause after a failed call; a store that is available again is written to within this time. */
  private static final long RETRY_MILLIS = 500;

  private final Executor eventLoop;
  private final Time time;
  private final BiConsumer<K, Throwable> onFirstFailure;
  private final Set<K> changing = new HashSet<>();
  private long retryAtMillis = Long.MIN_VALUE;
  private boolean failing;

  /**
   * Creates a writer.
   *
   * @param eventLoop runs what follows a call
   * @param time clock
   * @param onFirstFailure receives the key and the cause of a failed call, unless the one before
   *     failed as well
   */
  public RowWriter(Executor eventLoop, Time time, BiConsumer<K, Throwable> onFirstFailure) {
    this.eventLoop = eventLoop;
    this.time = time;
    this.onFirstFailure = onFirstFailure;
  }

  /** Returns whether a call has failed so recently that no row is to be changed yet. */
  public boolean isPaused(long nowMillis) {
    return nowMillis < retryAtMillis;
  }

  /** Returns the number of rows that are being changed. */
  public int changingCount() {
    return changing.size();
  }

  /**
   * Changes a row, unless it is being changed.
   *
   * @param key key of the row
   * @param call starts the call to the store
   * @param onSuccess runs when the row has been changed
   */
  public void change(K key, Supplier<CompletableFuture<@Nullable Void>> call, Runnable onSuccess) {
    if (changing.add(key)) {
      call.get()
          .whenCompleteAsync(
              (@Nullable Void done, @Nullable Throwable failure) ->
                  completed(key, failure, onSuccess),
              eventLoop);
    }
  }

  private void completed(K key, @Nullable Throwable failure, Runnable onSuccess) {
    changing.remove(key);
    if (failure == null) {
      onSuccess.run();
    } else {
      retryAtMillis = time.monotonicMillis() + RETRY_MILLIS;
      if (!failing) {
        onFirstFailure.accept(key, failure);
      }
    }
    failing = failure != null;
  }
}
