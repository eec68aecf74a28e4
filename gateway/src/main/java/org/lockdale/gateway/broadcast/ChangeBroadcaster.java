package org.lockdale.gateway.broadcast;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Sends entries that have changed to all other nodes by datagrams. Changes within a short time go
 * into one message. Messages may be lost, so each is repeated: once for any entry, and for several
 * seconds for one that decides what is sent to backends. Runs on one event loop.
 *
 * @param <K> type of the keys of entries
 * @param <E> type of the entries
 */
public final class ChangeBroadcaster<K, E> {

  private static final long GATHER_MILLIS = 10;

  private static final long FIRST_REPEAT_MILLIS = 200;

  /**
   * Delays of further repeats, in milliseconds, for decisive entries. After a network partition
   * that lasts longer, nodes read the entries from the shared store.
   */
  private static final long[] LATER_REPEATS_MILLIS = {1_000, 2_500, 5_000};

  private final ScheduledExecutorService eventLoop;
  private final Function<K, Optional<E>> finder;
  private final Predicate<E> decisive;
  private final int maxInMessage;
  private final Consumer<List<E>> sender;
  private Set<K> pending = new LinkedHashSet<>();

  /**
   * Creates a broadcaster.
   *
   * @param eventLoop runs it
   * @param finder provides the state of an entry at the time it is sent
   * @param decisive determines which entries are repeated for several seconds
   * @param maxInMessage maximum number of entries in a message
   * @param sender sends one message to all other nodes
   */
  public ChangeBroadcaster(
      ScheduledExecutorService eventLoop,
      Function<K, Optional<E>> finder,
      Predicate<E> decisive,
      int maxInMessage,
      Consumer<List<E>> sender) {
    this.eventLoop = eventLoop;
    this.finder = finder;
    this.decisive = decisive;
    this.maxInMessage = maxInMessage;
    this.sender = sender;
  }

  /** Schedules an entry to be sent to all other nodes. */
  public void broadcast(K key) {
    if (pending.isEmpty()) {
      eventLoop.schedule(this::sendGathered, GATHER_MILLIS, TimeUnit.MILLISECONDS);
    }
    pending.add(key);
  }

  private void sendGathered() {
    Set<K> keys = pending;
    pending = new LinkedHashSet<>();
    send(keys, entry -> true);
    repeat(keys, FIRST_REPEAT_MILLIS, entry -> true);
    for (long delay : LATER_REPEATS_MILLIS) {
      repeat(keys, delay, decisive);
    }
  }

  private void repeat(Set<K> keys, long delayMillis, Predicate<E> filter) {
    eventLoop.schedule(() -> send(keys, filter), delayMillis, TimeUnit.MILLISECONDS);
  }

  private void send(Set<K> keys, Predicate<E> filter) {
    List<E> message = new ArrayList<>();
    for (K key : keys) {
      finder.apply(key).filter(filter).ifPresent(message::add);
      if (message.size() == maxInMessage) {
        sender.accept(List.copyOf(message));
        message.clear();
      }
    }
    if (!message.isEmpty()) {
      sender.accept(message);
    }
  }
}
