package org.lockdale.gateway.limit;

import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.table.StoreVersion;

/**
 * Decides when the limit relay reads, claims and replaces the row of stored levels, so that a
 * restart of all nodes does not refuse requests of tenants that are within their limits. The row
 * has one owner at a time, the process that wrote it last: every write names the version that it
 * replaces. Handles a start of all nodes at once, several relays that consider themselves the limit
 * relay, and answers that are late or lost. Performs no I/O; the time is passed in. Not
 * thread-safe.
 */
public final class LevelKeeper {

  /** Interval of writes, in milliseconds; what was gained since is lost with the owner. */
  static final long WRITE_INTERVAL_MILLIS = 1_000;

  /**
   * Time after the sending of the latest successful write for which the owner may use the advance,
   * in milliseconds: one write may fail. A claimer lets the same time pass before its account
   * gains, so that advances of former owners have ended by then.
   */
  static final long LEASE_MILLIS = 2_000;

  /**
   * Minimum age of another node's row before it is claimed, in milliseconds. An owner that is alive
   * replaces the row within this time while requests are counted. A relay that merely missed some
   * heartbeats, or that has started and not yet heard any, would otherwise take the row from it.
   */
  static final long ABANDONED_MILLIS = 1_300;

  /** Time after a failed call until the next one, in milliseconds. */
  private static final long RETRY_MILLIS = 500;

  /** What is to be done next. */
  public sealed interface Action {

    /** Nothing; a call is in progress, or none is due. */
    record None() implements Action {}

    /** Read the row and call {@link #onRead} or {@link #onFailed}. */
    record Read() implements Action {}

    /**
     * Replace the row and call {@link #onWritten} or {@link #onFailed}.
     *
     * @param row the new row
     * @param expectedVersion version that the row must have
     */
    record Write(KeptLevels row, long expectedVersion) implements Action {}
  }

  /** Effect of a call that failed. */
  public enum Failure {
    /** The row had another version; nothing was written. */
    SUPERSEDED,
    /** Nothing was written, and never will be. */
    NOT_WRITTEN,
    /** The write may have taken effect, or may yet. */
    UNKNOWN
  }

  private enum State {
    /** The row belongs to another process, or its content is not known. */
    FOREIGN,
    /** The row was read and is to be claimed. */
    CLAIMING,
    /** This process wrote the row. */
    OWNER,
    /** This process wrote the row, and a later write had no answer. */
    UNCERTAIN
  }

  private static final Action NONE = new Action.None();

  private final String holder;
  private final long incarnation;
  private final long windowMillis;
  private final TenantBuckets buckets;
  private State state = State.FOREIGN;
  private boolean busy;
  private boolean hasRead;
  private long version;
  private long sentAtMillis;
  private long nextAtMillis = Long.MIN_VALUE;

  /** Levels of the row that a claim replaces; null if no claim was sent. */
  private @Nullable Map<String, Double> claimed;

  private int claimedTenants;

  /**
   * Creates a keeper that owns no row.
   *
   * @param holder id of this node
   * @param incarnation identifies this run of the node's process
   * @param windowMillis window in which requests are counted, in milliseconds
   * @param buckets buckets whose levels are kept; they must have been created to keep levels
   */
  public LevelKeeper(String holder, long incarnation, long windowMillis, TenantBuckets buckets) {
    this.holder = holder;
    this.incarnation = incarnation;
    this.windowMillis = windowMillis;
    this.buckets = buckets;
  }

  /** Returns whether this process wrote the row last, as far as it knows. */
  public boolean isOwner() {
    return state == State.OWNER || state == State.UNCERTAIN;
  }

  /** Returns the number of tenants of which the latest claim brought a level. */
  public int claimedTenants() {
    return claimedTenants;
  }

  /**
   * Returns what is to be done; to be called periodically.
   *
   * @param limitRelay whether this node serves as the limit relay
   * @param nowMillis monotonic time
   * @param storeMillis time by the store's steady clock
   */
  public Action next(boolean limitRelay, long nowMillis, long storeMillis) {
    if (busy || nowMillis < nextAtMillis) {
      return NONE;
    }
    if (!limitRelay) {
      // The lease ends unless this node is the limit relay again and the row is still its own.
      state = state == State.CLAIMING ? State.FOREIGN : state;
      return NONE;
    }
    return switch (state) {
      case FOREIGN, UNCERTAIN -> {
        busy = true;
        yield new Action.Read();
      }
      case CLAIMING -> write(Map.of(), nowMillis, storeMillis);
      case OWNER ->
          buckets.wasUsedSince(nowMillis - windowMillis)
              ? write(buckets.beginWrite(nowMillis), nowMillis, storeMillis)
              : NONE;
    };
  }

  private Action write(Map<String, Double> levels, long nowMillis, long storeMillis) {
    busy = true;
    sentAtMillis = nowMillis;
    return new Action.Write(new KeptLevels(holder, incarnation, storeMillis, levels), version);
  }

  /** Processes the row after {@link Action.Read}. */
  public void onRead(KeptLevelsReading reading, long nowMillis) {
    busy = false;
    KeptLevels row = reading.row();
    boolean isOwn = row != null && row.holder().equals(holder) && row.incarnation() == incarnation;
    boolean sameEra = eraOf(reading.version()) == eraOf(version);
    if (state == State.UNCERTAIN) {
      resolve(reading, isOwn, sameEra);
      return;
    }
    Map<String, Double> sent = claimed;
    if (isOwn && sent != null && sameEra && reading.version() != version) {
      // The claim took effect, although its answer was lost.
      own(reading.version(), sent, nowMillis);
    } else if (row != null && !row.holder().equals(holder) && ageOf(reading) < ABANDONED_MILLIS) {
      nextAtMillis = nowMillis + Math.min(ABANDONED_MILLIS, ABANDONED_MILLIS - ageOf(reading));
    } else {
      // Levels in an older copy of the store were partly used since.
      boolean isUsable = ageOf(reading) <= windowMillis && (sameEra || !hasRead);
      hasRead = true;
      claimed = row != null && isUsable ? row.levels() : Map.of();
      version = reading.version();
      state = State.CLAIMING;
    }
  }

  /** Settles what a write without an answer has done. */
  private void resolve(KeptLevelsReading reading, boolean isOwn, boolean sameEra) {
    KeptLevels row = reading.row();
    if (isOwn && row != null) {
      // Levels of an older copy of the store were partly used since.
      buckets.readBack(sameEra ? row.levels() : Map.of());
      version = reading.version();
      state = State.OWNER;
    } else {
      lose();
      state = State.FOREIGN;
    }
  }

  private static long eraOf(long version) {
    return StoreVersion.ofPacked(version).era();
  }

  /** Returns the age of the row in milliseconds; very long if there is none. */
  private static long ageOf(KeptLevelsReading reading) {
    KeptLevels row = reading.row();
    return row == null ? Long.MAX_VALUE : reading.storeMillis() - row.writtenAtMillis();
  }

  /**
   * Processes the success of {@link Action.Write}.
   *
   * @param newVersion version of the row after the write
   * @param nowMillis monotonic time
   * @return whether the write was a claim
   */
  public boolean onWritten(long newVersion, long nowMillis) {
    busy = false;
    if (state == State.CLAIMING) {
      own(newVersion, Objects.requireNonNull(claimed), nowMillis);
      return true;
    }
    buckets.written();
    version = newVersion;
    buckets.extendKept(sentAtMillis + LEASE_MILLIS);
    nextAtMillis = sentAtMillis + WRITE_INTERVAL_MILLIS;
    return false;
  }

  private void own(long newVersion, Map<String, Double> levels, long nowMillis) {
    claimedTenants = levels.size();
    state = State.OWNER;
    claimed = null;
    version = newVersion;
    buckets.claimed(levels, sentAtMillis + LEASE_MILLIS, nowMillis + LEASE_MILLIS);
    nextAtMillis = sentAtMillis + WRITE_INTERVAL_MILLIS;
  }

  /** Processes the failure of an action. */
  public void onFailed(Failure failure, long nowMillis) {
    busy = false;
    nextAtMillis = nowMillis + RETRY_MILLIS;
    if (state == State.FOREIGN) {
      return;
    }
    if (state == State.CLAIMING) {
      // The next read tells whether the claim took effect. A claim that may yet arrive is found
      // when the condition of the next one fails.
      state = State.FOREIGN;
      if (failure == Failure.SUPERSEDED) {
        nextAtMillis = nowMillis;
      }
      return;
    }
    if (failure == Failure.NOT_WRITTEN && state == State.OWNER) {
      buckets.notWritten();
    } else {
      // Also if the condition failed: an earlier write without an answer may have arrived.
      state = State.UNCERTAIN;
    }
  }

  private void lose() {
    buckets.superseded();
    claimed = null;
  }
}
