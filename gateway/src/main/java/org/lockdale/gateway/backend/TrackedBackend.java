package org.lockdale.gateway.backend;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.placement.Rendezvous;

/**
 * A backend with the state that this node has learned about it. The record is immutable. The
 * learned state is shared by all versions of the record of one incarnation. Safe for use by several
 * threads.
 */
public final class TrackedBackend {

  /**
   * A version of weights that was observed.
   *
   * @param version the version
   * @param exact whether the engine holds no newer one, even if its record lists one
   */
  private record ObservedWeights(long version, boolean exact) {

    ObservedWeights newer(ObservedWeights other) {
      return other.version > version ? other : this;
    }
  }

  /** State learned about one incarnation, independent of its records. */
  private static final class LearnedState {
    final BackendHealth health = new BackendHealth();
    final BackendLoad load = new BackendLoad();
    final BackendBackoff backoff;
    final Map<String, ObservedWeights> weights = new ConcurrentHashMap<>();
    final AtomicLong lastKnownAliveMillis = new AtomicLong(Long.MIN_VALUE / 2);
    final AtomicBoolean draining = new AtomicBoolean();
    final Set<Runnable> endListeners = ConcurrentHashMap.newKeySet();

    LearnedState(BackendBackoff backoff) {
      this.backoff = backoff;
    }
  }

  private final Backend backend;
  private final LearnedState learned;
  private final AtomicBoolean ended;
  private final long identity;

  private TrackedBackend(Backend backend, LearnedState learned, AtomicBoolean ended) {
    this.backend = backend;
    this.learned = learned;
    this.ended = ended;
    // The rank of a server stays the same across restarts, so that the prefixes of other servers
    // are not moved.
    this.identity = Rendezvous.identityOf(backend.incarnation().server());
  }

  /** Returns a backend of which only the record is known. */
  public static TrackedBackend of(Backend backend) {
    return new TrackedBackend(backend, new LearnedState(new BackendBackoff()), new AtomicBoolean());
  }

  /**
   * Returns the next incarnation of the same server, of which only its record is known, and the
   * backoff that the server requested: the next incarnation may have requested it before its record
   * was read.
   */
  public TrackedBackend nextIncarnation(Backend next) {
    return new TrackedBackend(next, new LearnedState(learned.backoff), new AtomicBoolean());
  }

  /**
   * Returns the same incarnation with a newer record. If its address has changed, it no longer
   * counts as ended: another instance at the former address does not show that this one has ended.
   */
  public TrackedBackend with(Backend newer) {
    boolean moved = !newer.address().equals(backend.address());
    return new TrackedBackend(newer, learned, moved ? new AtomicBoolean() : ended);
  }

  /**
   * Records that this incarnation has ended, as shown by another instance that responds at its
   * address or by the record of the server's next incarnation. Its record may remain in the shared
   * store for seconds.
   *
   * @return whether this was not known before
   */
  public boolean markEnded() {
    boolean isNew = ended.compareAndSet(false, true);
    if (isNew) {
      learned.endListeners.forEach(Runnable::run);
    }
    return isNew;
  }

  /** Registers an action that runs, on any thread, once this incarnation is known to have ended. */
  public void addEndListener(Runnable action) {
    learned.endListeners.add(action);
  }

  /** Removes an action registered with {@link #addEndListener}. */
  public void removeEndListener(Runnable action) {
    learned.endListeners.remove(action);
  }

  /** Returns whether this incarnation is known to have ended; no more requests are sent to it. */
  public boolean hasEnded() {
    return ended.get();
  }

  /**
   * Records that this incarnation has announced in a response that it is draining. This can't be
   * revoked: a record that contradicts it may be older, or may have been read late.
   *
   * @return whether it had not announced it before
   */
  public boolean markDraining() {
    return learned.draining.compareAndSet(false, true);
  }

  /** Returns whether this incarnation has announced in a response that it is draining. */
  public boolean hasAnnouncedDraining() {
    return learned.draining.get();
  }

  /** Returns whether this incarnation is draining, according to its record or its responses. */
  public boolean isDraining() {
    return backend.draining() || learned.draining.get();
  }

  /**
   * Returns whether requests may be sent to this incarnation: it is neither draining nor known to
   * have ended.
   */
  public boolean isServing() {
    return !isDraining() && !hasEnded();
  }

  /** Returns the backoff that the backend requested from this node. */
  public BackendBackoff backoff() {
    return learned.backoff;
  }

  /** Returns the record. */
  public Backend backend() {
    return backend;
  }

  /**
   * Returns whether a set of names contains this backend. Nodes of an earlier version send ids of
   * servers, which denote any incarnation.
   */
  public boolean isAmong(Set<String> names) {
    return names.contains(backend.id()) || names.contains(backend.incarnation().server());
  }

  /** Returns the work that this node has sent to the backend. */
  public BackendLoad load() {
    return learned.load;
  }

  /** Returns the failures of the backend as seen by this node. */
  public BackendHealth health() {
    return learned.health;
  }

  /** Returns the hash by which the server is ranked in rendezvous hashing. */
  public long identity() {
    return identity;
  }

  /**
   * Records that this incarnation, and no later one at its address, has started to respond to an
   * attempt, which shows that it was alive when the attempt was sent. The time at which the
   * response is read proves nothing: a slow node may read late what a backend wrote before its
   * process ended.
   *
   * @param sentAtMillis monotonic time in milliseconds at which the attempt was sent
   */
  public void recordAlive(long sentAtMillis) {
    learned.lastKnownAliveMillis.accumulateAndGet(sentAtMillis, Math::max);
  }

  /**
   * Returns the latest monotonic time, in milliseconds, at which this incarnation is known to have
   * been alive; far in the past where no response was received.
   */
  public long lastKnownAliveMillis() {
    return learned.lastKnownAliveMillis.get();
  }

  /** Records the version of weights reported in a response. */
  public void observeWeights(String model, long version) {
    learned.weights.merge(model, new ObservedWeights(version, false), ObservedWeights::newer);
  }

  /**
   * Records the version that the engine itself reports after it has rejected a request as meant for
   * other weights. This may be an older version than known: an order given to an earlier
   * incarnation and carried out late takes the engine back to older weights. If it were still
   * expected to hold newer ones, it would reject every request.
   */
  public void correctWeights(String model, long version) {
    learned.weights.put(model, new ObservedWeights(version, true));
  }

  /**
   * Returns the version of a model's weights that the engine is known to hold, or null where none
   * is known. This is the newest one in its record or its responses, unless {@link #correctWeights}
   * has set an older one.
   */
  public @Nullable Long weightsOf(String model) {
    Long listed = backend.weights().get(model);
    ObservedWeights observed = learned.weights.get(model);
    if (observed == null) {
      return listed;
    }
    return listed == null || observed.exact()
        ? Long.valueOf(observed.version())
        : Long.valueOf(Math.max(listed, observed.version()));
  }
}
