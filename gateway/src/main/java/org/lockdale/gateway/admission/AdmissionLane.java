package org.lockdale.gateway.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * The tickets of one pool and priority in their order: those that can still meet their objective
 * before late ones, among these by start-time fair queueing between tenants, and by due time within
 * a tenant. Not thread-safe.
 */
final class AdmissionLane {

  /** One admission in this many goes to the oldest late ticket, so that none starves. */
  static final int LATE_SHARE = 5;

  /** A ticket with its place in the fair order. */
  static final class Entry {
    final Ticket ticket;
    private final double start;
    private boolean late;

    /** Monotonic time since which tickets behind this one were admitted; -1 if none was. */
    long passedSinceMillis = -1;

    Entry(Ticket ticket, double start) {
      this.ticket = ticket;
      this.start = start;
    }
  }

  private static final Comparator<Entry> BY_KEY =
      Comparator.<Entry, String>comparing(entry -> entry.ticket.key().node())
          .thenComparingLong(entry -> entry.ticket.key().number());
  private static final Comparator<Entry> BY_ARRIVAL =
      Comparator.<Entry>comparingLong(entry -> entry.ticket.arrivedAtMillis())
          .thenComparing(BY_KEY);
  private static final Comparator<Entry> BY_SHARE =
      Comparator.<Entry>comparingDouble(entry -> entry.start).thenComparing(BY_ARRIVAL);
  private static final Comparator<Entry> BY_DUE =
      Comparator.<Entry>comparingLong(entry -> entry.ticket.dueMillis()).thenComparing(BY_KEY);

  private final TreeSet<Entry> inTime = new TreeSet<>(BY_SHARE);
  private final TreeSet<Entry> byDue = new TreeSet<>(BY_DUE);
  private final TreeSet<Entry> late = new TreeSet<>(BY_SHARE);
  private final TreeSet<Entry> lateByArrival = new TreeSet<>(BY_ARRIVAL);
  private final Map<String, Double> finishByTenant = new HashMap<>();
  private double virtualTime;
  private int admissionsSinceLate;

  Entry add(Ticket ticket, long nowMillis) {
    double start = Math.max(virtualTime, finishByTenant.getOrDefault(ticket.tenant(), 0.0));
    finishByTenant.put(ticket.tenant(), start + ticket.cost());
    Entry entry = new Entry(ticket, start);
    if (ticket.dueMillis() < nowMillis) {
      addLate(entry);
    } else {
      inTime.add(entry);
      byDue.add(entry);
    }
    return entry;
  }

  private void addLate(Entry entry) {
    entry.late = true;
    late.add(entry);
    lateByArrival.add(entry);
  }

  /** Removes a ticket that was not admitted; its tenant is not charged for it. */
  void withdraw(Entry entry) {
    finishByTenant.computeIfPresent(
        entry.ticket.tenant(), (tenant, finish) -> finish - entry.ticket.cost());
    remove(entry);
  }

  private void remove(Entry entry) {
    if (entry.late) {
      late.remove(entry);
      lateByArrival.remove(entry);
    } else {
      inTime.remove(entry);
      byDue.remove(entry);
    }
    if (size() == 0) {
      // A tenant's share is that of the time in which others wait too.
      finishByTenant.clear();
      virtualTime = 0;
    }
  }

  void recordAdmitted(Entry entry) {
    admissionsSinceLate = entry.late ? 0 : admissionsSinceLate + 1;
    TreeSet<Entry> peers = entry.late ? late : inTime;
    virtualTime = Math.max(virtualTime, Math.min(entry.start, peers.first().start));
    remove(entry);
  }

  /** Moves the tickets that can no longer meet their objective behind the others. */
  void refresh(long nowMillis) {
    while (!byDue.isEmpty() && byDue.first().ticket.dueMillis() < nowMillis) {
      Entry entry = byDue.pollFirst();
      inTime.remove(entry);
      addLate(entry);
    }
  }

  /** Returns the late ticket whose turn it is before those in time; null if it is not its turn. */
  @Nullable Entry turnOfLate() {
    return !lateByArrival.isEmpty() && admissionsSinceLate >= LATE_SHARE - 1
        ? lateByArrival.first()
        : null;
  }

  /** Returns the tickets in order. */
  List<Entry> inOrder() {
    List<Entry> entries = new ArrayList<>(size());
    Entry first = turnOfLate();
    if (first != null) {
      entries.add(first);
    }
    addByShare(inTime, entries, first);
    addByShare(late, entries, first);
    return entries;
  }

  /**
   * Adds entries in the fair order of their tenants. Among those of one tenant, the ones that are
   * due earlier take the earlier places, so that a short objective is met beside a long one.
   */
  private static void addByShare(
      TreeSet<Entry> byShare, List<Entry> entries, @Nullable Entry excluded) {
    Map<String, PriorityQueue<Entry>> byTenant = new HashMap<>();
    for (Entry entry : byShare) {
      byTenant
          .computeIfAbsent(entry.ticket.tenant(), tenant -> new PriorityQueue<>(BY_DUE))
          .add(entry);
    }
    for (Entry place : byShare) {
      Entry next = byTenant.get(place.ticket.tenant()).poll();
      if (next != excluded) {
        entries.add(next);
      }
    }
  }

  /** Returns the time since the oldest ticket arrived, in milliseconds; 0 without tickets. */
  long oldestMillis(long nowMillis) {
    long oldest = nowMillis;
    for (Entry entry : inTime) {
      oldest = Math.min(oldest, entry.ticket.arrivedAtMillis());
    }
    return nowMillis
        - (late.isEmpty()
            ? oldest
            : Math.min(oldest, lateByArrival.first().ticket.arrivedAtMillis()));
  }

  int size() {
    return inTime.size() + late.size();
  }
}
