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

  /**
   * A version of weights that was seen.
   *
   * @param exact whether the engine holds no newer one, whatever its record says
   */
  private record ObservedWeights(long version, boolean exact) {

    ObservedWeights newer(ObservedWeights other) {
      return other.version > version ? other : this;
    }
  }

  /** What is learned of one incarnation, whatever its records say. */
  private static final class Learned {
    final BackendHealth health = new BackendHealth();
    final BackendLoad load = new BackendLoad();
    final BackendRest rest;
    final Map<String, ObservedWeights> weights = new ConcurrentHashMap<>();
    final AtomicLong aliveAtMillis = new AtomicLong(Long.MIN_VALUE / 2);
    final AtomicBoolean leaving = new AtomicBoolean();
    final Set<Runnable> whenOver = ConcurrentHashMap.newKeySet();

    Learned(BackendRest rest) {
      this.rest = rest;
    }
  }

  private final Backend backend;
  private final Learned learned;
  private final AtomicBoolean over;
  private final long identity;

  private TrackedBackend(Backend backend, Learned learned, AtomicBoolean over) {
    this.backend = backend;
    this.learned = learned;
    this.over = over;
    // A server's rank outlives a restart, so that the prefixes of other servers stay where they
    // are.
    this.identity = Rendezvous.identityOf(backend.incarnation().server());
  }

  /** Returns a back end of which nothing is known but its record. */
  public static TrackedBackend of(Backend backend) {
    return new TrackedBackend(backend, new Learned(new BackendRest()), new AtomicBoolean());
  }

  /**
   * Returns the next life of the same server, of which nothing is known but its record and the rest
   * that the server wants: the next life may have asked for it before its record was read.
   */
  public TrackedBackend nextLife(Backend next) {
    return new TrackedBackend(next, new Learned(learned.rest), new AtomicBoolean());
  }

  /**
   * Returns the same incarnation with a newer record. Where it is reached at another address, that
   * somebody else answers at the former one says nothing any more.
   */
  public TrackedBackend with(Backend newer) {
    boolean moved = !newer.address().equals(backend.address());
    return new TrackedBackend(newer, learned, moved ? new AtomicBoolean() : over);
  }

  /**
   * Notes that this life is over, as shown by another instance that answers at its address, or by
   * the record of the server's next life. Its own record may stand for seconds more.
   *
   * @return whether that was not known
   */
  public boolean end() {
    boolean news = over.compareAndSet(false, true);
    if (news) {
      learned.whenOver.forEach(Runnable::run);
    }
    return news;
  }

  /** Runs an action, on any thread, once this life is known to be over. */
  public void whenOver(Runnable action) {
    learned.whenOver.add(action);
  }

  /** Takes an action back. */
  public void forget(Runnable action) {
    learned.whenOver.remove(action);
  }

  /** Returns whether this life is known to be over; nothing is sent to it any more. */
  public boolean isOver() {
    return over.get();
  }

  /**
   * Notes that this life leaves, as it says in its answers. It can't take that back: its record may
   * be of before, or read late.
   *
   * @return whether it had not said so before
   */
  public boolean leave() {
    return learned.leaving.compareAndSet(false, true);
  }

  /** Returns whether this life has said in an answer that it leaves. */
  public boolean hasSaidItLeaves() {
    return learned.leaving.get();
  }

  /** Returns whether this life leaves, by its record or by its own word. */
  public boolean isLeaving() {
    return backend.leaving() || learned.leaving.get();
  }

  /** Returns whether requests may be sent to this life: it neither leaves nor is over. */
  public boolean isServing() {
    return !isLeaving() && !isOver();
  }

  /** Returns the rest that it wants from this node. */
  public BackendRest rest() {
    return learned.rest;
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
    return learned.load;
  }

  /** Returns its failures as this node saw them. */
  public BackendHealth health() {
    return learned.health;
  }

  /** Returns the hash by which it is ranked for a key. */
  public long identity() {
    return identity;
  }

  /**
   * Notes that this incarnation, and no later one at its address, has begun to answer an attempt,
   * which shows that it lived when the attempt was sent. When the answer is read shows nothing: a
   * slow node reads late what a back end wrote before its end.
   */
  public void answered(long sentAtMillis) {
    learned.aliveAtMillis.accumulateAndGet(sentAtMillis, Math::max);
  }

  /** Returns the latest monotonic time at which this incarnation is known to have lived. */
  public long aliveAtMillis() {
    return learned.aliveAtMillis.get();
  }

  /** Notes the version of weights that an answer told. */
  public void observeWeights(String model, long version) {
    learned.weights.merge(model, new ObservedWeights(version, false), ObservedWeights::newer);
  }

  /**
   * Notes the version that the engine itself tells after it has turned a request away as meant for
   * other weights. An order to an earlier life that is carried out late takes it back to older
   * ones; believed to hold newer ones, it would turn each request away.
   */
  public void correctWeights(String model, long version) {
    learned.weights.put(model, new ObservedWeights(version, true));
  }

  /** Returns the newest version known of a model's weights, or null where none is known. */
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
