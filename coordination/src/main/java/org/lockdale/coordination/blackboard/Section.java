package org.lockdale.coordination.blackboard;

import java.util.concurrent.atomic.AtomicReference;

/**
 * One section of the blackboard: an immutable value that one controller replaces and everyone reads
 * (read-copy-update).
 *
 * @param <T> immutable type of the value
 */
public final class Section<T> {

  private final AtomicReference<Snapshot<T>> current;

  /** Creates a section with a first value, true since for ever. */
  public Section(T initial) {
    current = new AtomicReference<>(new Snapshot<>(initial, 0, Long.MIN_VALUE / 2));
  }

  /** Returns the latest value. */
  public T value() {
    return current.get().value();
  }

  /** Returns the latest value with its age. */
  public Snapshot<T> snapshot() {
    return current.get();
  }

  /** Replaces the value; to be called by the section's one controller only. */
  public void publish(T value, long trueAtMillis) {
    current.updateAndGet(before -> new Snapshot<>(value, before.version() + 1, trueAtMillis));
  }
}
