package org.lockdale.gateway.drain;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.TrackedBackend;
import org.tinylog.Logger;

/**
 * Incarnations of backends that have announced, in a response to this node or to another one, that
 * they are draining. The announcement holds for the rest of the incarnation, even if its record
 * disappears for a time and returns in its former state. Safe for use by several threads.
 */
public final class DrainingBackends {

  /**
   * Maximum number of incarnations kept; the oldest are dropped first. A release replaces a few
   * hundred servers at most.
   */
  private static final int MAX_INCARNATIONS = 1_024;

  /**
   * Time in milliseconds after which the record shows what the response announced, provided that
   * the store accepts writes without delay.
   */
  private static final long RECORD_DELAY_MILLIS = 2_000;

  private static final class Announcement {
    private final long receivedAtMillis;
    private boolean comparedWithRecord;

    Announcement(long receivedAtMillis) {
      this.receivedAtMillis = receivedAtMillis;
    }
  }

  private final Supplier<BackendTable> backends;
  private final Consumer<List<String>> notifyOthers;
  private final Time time;
  private final Map<String, Announcement> announcements = new LinkedHashMap<>();

  /**
   * Creates an empty collection.
   *
   * @param backends supplies the backends with a record in the shared store
   * @param notifyOthers notifies all other nodes of draining incarnations, given by their text
   *     forms
   * @param time clock
   */
  public DrainingBackends(
      Supplier<BackendTable> backends, Consumer<List<String>> notifyOthers, Time time) {
    this.backends = backends;
    this.notifyOthers = notifyOthers;
    this.time = time;
  }

  /**
   * Records that a backend has announced to this node that it is draining, and notifies the other
   * nodes unless another node already did.
   *
   * @return whether this node did not know it before
   */
  boolean recordAnnouncement(TrackedBackend backend) {
    String incarnation = backend.backend().id();
    boolean isNew = backend.markDraining();
    if (isNew && addIfAbsent(incarnation)) {
      log(backend, "answer");
      notifyOthers.accept(List.of(incarnation));
    }
    return isNew;
  }

  /**
   * Records the incarnations, by their text forms, that announced to another node that they are
   * draining.
   */
  void recordNotification(String sender, List<String> incarnations) {
    BackendTable table = backends.get();
    for (String incarnation : incarnations) {
      addIfAbsent(incarnation);
      // A name without a start time denotes the incarnation that was present at the other node, and
      // the one present here may be a later one.
      TrackedBackend tracked = table.find(incarnation);
      if (tracked != null && tracked.markDraining()) {
        log(tracked, sender);
      }
    }
  }

  private synchronized boolean addIfAbsent(String incarnation) {
    if (announcements.containsKey(incarnation)) {
      return false;
    }
    announcements.put(incarnation, new Announcement(time.monotonicMillis()));
    if (announcements.size() > MAX_INCARNATIONS) {
      Iterator<String> oldest = announcements.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
    return true;
  }

  private static void log(TrackedBackend backend, String source) {
    Logger.info(
        "event=backend-leaving backend={} source={} on-record={}",
        backend.backend().id(),
        source,
        backend.backend().draining());
  }

  /** Marks the backends of a table whose incarnations are known to be draining. */
  public synchronized void markDraining(BackendTable table) {
    for (String incarnation : announcements.keySet()) {
      TrackedBackend tracked = table.find(incarnation);
      if (tracked != null) {
        tracked.markDraining();
      }
    }
  }

  /**
   * Logs the incarnations whose records still do not show that they are draining some time after
   * the announcement. Checks each incarnation once.
   */
  public synchronized void tick(BackendTable table) {
    long now = time.monotonicMillis();
    announcements.forEach(
        (id, announcement) -> {
          if (!announcement.comparedWithRecord
              && now - announcement.receivedAtMillis >= RECORD_DELAY_MILLIS) {
            announcement.comparedWithRecord = true;
            TrackedBackend tracked = table.find(id);
            if (tracked != null && !tracked.backend().draining()) {
              Logger.info(
                  "event=leaving-not-on-record backend={} millis={}",
                  id,
                  now - announcement.receivedAtMillis);
            }
          }
        });
  }
}
