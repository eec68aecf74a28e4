package org.lockdale.gateway.backend;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.placement.Rendezvous;

/**
 * A back end with what this node has learned about it. The record is immutable; the rest is shared
 * by all versions of the record of one incarnation and is safe for use by several threads.
 */
public final class TrackedBackend {

  private final Backend backend;
  private final BackendHealth health;
  private final BackendLoad load;
  private final Map<String, Long> observedWeights;
  private final AtomicLong aliveAtMillis;
  private final AtomicBoolean over;
  private final long identity;

  private TrackedBackend(
      Backend backend,
      BackendHealth health,
      BackendLoad load,
      Map<String, Long> observedWeights,
      AtomicLong aliveAtMillis,
      AtomicBoolean over) {
    this.backend = backend;
    this.health = health;
    this.load = load;
    this.observedWeights = observedWeights;
    this.aliveAtMillis = aliveAtMillis;
    this.over = over;
    // A server's rank outlives a restart, so that the prefixes of other servers stay where they
    // are.
    this.identity = Rendezvous.identityOf(backend.incarnation().server());
  }

  /** Returns a back end of which nothing is known but its record. */
  public static TrackedBackend of(Backend backend) {
    return new TrackedBackend(
        backend,
        new BackendHealth(),
        new BackendLoad(),
        new ConcurrentHashMap<>(),
        new AtomicLong(Long.MIN_VALUE),
        new AtomicBoolean());
  }

  /**
   * Returns the same incarnation with a newer record. Where it is reached at another address, that
   * somebody else answers at the former one says nothing any more.
   */
  public TrackedBackend with(Backend newer) {
    boolean moved = !newer.address().equals(backend.address());
    return new TrackedBackend(
        newer, health, load, observedWeights, aliveAtMillis, moved ? new AtomicBoolean() : over);
  }

  /**
   * Notes that this life is over, as shown by another instance that answers at its address. Its
   * record may stand for seconds more.
   *
   * @return whether that was not known
   */
  public boolean end() {
    return over.compareAndSet(false, true);
  }

  /** Returns whether this life is known to be over; nothing is sent to it any more. */
  public boolean isOver() {
    return over.get();
  }

  /** Returns the record. */
  public Backend backend() {
    return backend;
  }

  /**
   * Returns whether a list of back ends names this one. Nodes of an earlier version name servers,
   * whichever life is meant.
   */
  public boolean isAmong(Set<String> named) {
    return named.contains(backend.id()) || named.contains(backend.incarnation().server());
  }

  /** Returns the work that this node has sent to it. */
  public BackendLoad load() {
    return load;
  }

  /** Returns its failures as this node saw them. */
  public BackendHealth health() {
    return health;
  }

  /** Returns the hash by which it is ranked for a key. */
  public long identity() {
    return identity;
  }

  /**
   * Notes that this incarnation has begun to answer an attempt, which shows that it lived when the
   * attempt was sent. When the answer is read shows nothing: a slow node reads late what a back end
   * wrote before its end.
   */
  public void answered(long sentAtMillis) {
    aliveAtMillis.accumulateAndGet(sentAtMillis, Math::max);
  }

  /** Returns the latest monotonic time at which this incarnation is known to have lived. */
  public long aliveAtMillis() {
    return aliveAtMillis.get();
  }

  /** Notes the version of weights that an answer told. */
  public void observeWeights(String model, long version) {
    observedWeights.merge(model, version, Math::max);
  }

  /** Returns the newest version known of a model's weights, or null where none is known. */
  public @Nullable Long weightsOf(String model) {
    Long listed = backend.weights().get(model);
    Long observed = observedWeights.get(model);
    if (listed == null || observed == null) {
      return listed == null ? observed : listed;
    }
    return Math.max(listed, observed);
  }
}
