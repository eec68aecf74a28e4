package org.lockdale.coordination.blackboard;

import java.util.concurrent.atomic.AtomicReference;

/**
 * A section of the blackboard: an immutable value that one controller replaces and any thread can
 * read without locking (read-copy-update).
 *
 * @param <T> immutable type of the value
 */
public final class Section<T> {

  private final AtomicReference<Snapshot<T>> current;

  /** Creates a section with an initial value whose age is practically infinite. */
  public Section(T initial) {
    current = new AtomicReference<>(new Snapshot<>(initial, 0, Long.MIN_VALUE / 2));
  }

  /** Returns the latest value. */
  public T value() {
    return current.get().value();
  }

  /** Returns the latest value with its version and time. */
  public Snapshot<T> snapshot() {
    return current.get();
  }

  /**
   * Replaces the value; to be called only by the controller that owns the section.
   *
   * @param value the new value
   * @param asOfMillis monotonic time at which the value was known to be current
   */
  public void publish(T value, long asOfMillis) {
    current.updateAndGet(before -> new Snapshot<>(value, before.version() + 1, asOfMillis));
  }
}
