package org.lockdale.emulator.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The cache events that an engine publishes: delayed, limited to the newest 8,192, and with gaps in
 * their numbers where events were lost.
 */
final class CacheEventLog {

  /**
   * A block that was stored or evicted.
   *
   * @param number counted from 1, including lost events
   * @param stored whether the block was stored, else evicted
   * @param hash hash of the block
   * @param publishedAtMicros time from which the event is visible, by the engine's clock
   */
  record CacheEvent(long number, boolean stored, long hash, long publishedAtMicros) {}

  private static final int MAX_EVENTS = 8_192;
  private static final int PER_MILLE = 1_000;

  private final EngineSettings settings;
  private final UniformRandomProvider random;
  private final LongSupplier nowMicros;
  private final Deque<CacheEvent> events = new ArrayDeque<>();
  private long nextNumber = 1;

  CacheEventLog(EngineSettings settings, UniformRandomProvider random, LongSupplier nowMicros) {
    this.settings = settings;
    this.random = random;
    this.nowMicros = nowMicros;
  }

  void stored(long hash) {
    add(true, hash);
  }

  void evicted(long hash) {
    add(false, hash);
  }

  private void add(boolean stored, long hash) {
    long number = nextNumber;
    nextNumber++;
    if (random.nextInt(PER_MILLE) < settings.cacheEventLossPerMille()) {
      return;
    }
    long publishedAt = nowMicros.getAsLong() + settings.cacheEventDelayMicros();
    events.addLast(new CacheEvent(number, stored, hash, publishedAt));
    if (events.size() > MAX_EVENTS) {
      events.removeFirst();
    }
  }

  /** Returns the events published so far whose numbers are higher than a number. */
  List<CacheEvent> publishedAfter(long number) {
    long now = nowMicros.getAsLong();
    List<CacheEvent> published = new ArrayList<>();
    for (CacheEvent event : events) {
      if (event.number() > number && event.publishedAtMicros() <= now) {
        published.add(event);
      }
    }
    return published;
  }
}
