package org.lockdale.gateway.resume;

import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.lockdale.coordination.time.Time;

/**
 * The origins of streams that this node knows: of those that began here, and of others that it
 * keeps for the nodes where they began. Entries expire after {@link #RETENTION_MILLIS}.
 * Thread-safe.
 */
public final class OriginTable {

  /** Longer than callers keep taking up a stream. */
  public static final long RETENTION_MILLIS = 120_000;

  /** Bounds the memory where streams begin faster than entries expire; the oldest are dropped. */
  private static final int MAX_ENTRIES = 50_000;

  private record Entry(StreamOrigin origin, long expiresAtMillis) {}

  private record Expiry(StreamId id, long atMillis) {}

  private final Time time;
  private final Map<StreamId, Entry> entries = new ConcurrentHashMap<>();
  private final Queue<Expiry> expiries = new ConcurrentLinkedQueue<>();

  /** Creates an empty table. */
  public OriginTable(Time time) {
    this.time = time;
  }

  /** Adds the origin of a stream. */
  public void put(StreamId id, StreamOrigin origin) {
    long now = time.monotonicMillis();
    long expiresAt = now + RETENTION_MILLIS;
    entries.put(id, new Entry(origin, expiresAt));
    expiries.add(new Expiry(id, expiresAt));
    removeExpired(now);
  }

  private void removeExpired(long nowMillis) {
    Expiry oldest = expiries.peek();
    while (oldest != null && (oldest.atMillis() <= nowMillis || entries.size() > MAX_ENTRIES)) {
      if (expiries.remove(oldest)) {
        remove(oldest);
      }
      oldest = expiries.peek();
    }
  }

  /** Removes an entry unless it was added again later. */
  private void remove(Expiry expiry) {
    Entry entry = entries.get(expiry.id());
    if (entry != null && entry.expiresAtMillis() <= expiry.atMillis()) {
      entries.remove(expiry.id(), entry);
    }
  }

  /** Returns the origin of a stream; empty where it is not known. */
  public Optional<StreamOrigin> get(StreamId id) {
    Entry entry = entries.get(id);
    return entry == null || entry.expiresAtMillis() <= time.monotonicMillis()
        ? Optional.empty()
        : Optional.of(entry.origin());
  }

  /** Returns the number of entries. */
  int size() {
    return entries.size();
  }
}
