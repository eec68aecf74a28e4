package org.lockdale.gateway.cache;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.configuration.CacheStore;

/**
 * What each engine and the store of cached prompts are believed to keep. A follower a holder runs
 * on one event loop; the request path reads from any thread.
 */
public final class CacheDirectory {

  private static final long RECONCILE_MILLIS = 500;

  /** Engines beyond this number are not followed; what they keep stays unknown. */
  private static final int MAX_FOLLOWED_ENGINES = 256;

  private static final HeldParts NOTHING = new HeldParts();

  private record Holder(InetSocketAddress address, HeldParts held, CacheFollower follower) {}

  private final EventLoop eventLoop;
  private final CacheEventSource source;
  private final Supplier<BackendTable> backends;
  private final Supplier<Optional<CacheStore>> storeInForce;
  private final Map<String, Holder> engines = new ConcurrentHashMap<>();
  private volatile @Nullable Holder store;
  private volatile boolean following;

  /**
   * Creates a directory; {@link #start} starts it.
   *
   * @param eventLoop runs the followers
   * @param source asks holders
   * @param backends back ends on record
   * @param storeInForce the store in force
   */
  public CacheDirectory(
      EventLoop eventLoop,
      CacheEventSource source,
      Supplier<BackendTable> backends,
      Supplier<Optional<CacheStore>> storeInForce) {
    this.eventLoop = eventLoop;
    this.source = source;
    this.backends = backends;
    this.storeInForce = storeInForce;
  }

  /** Starts to follow. */
  public void start() {
    eventLoop.scheduleAtFixedRate(
        this::reconcile, RECONCILE_MILLIS, RECONCILE_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Follows the holders, or ceases to and forgets what they keep. */
  public void follow(boolean wanted) {
    following = wanted;
    eventLoop.execute(this::reconcile);
  }

  private void reconcile() {
    followStore();
    Set<String> present = new HashSet<>();
    for (TrackedBackend tracked : backends.get().all()) {
      Backend backend = tracked.backend();
      boolean room = present.size() < MAX_FOLLOWED_ENGINES;
      if (following && !backend.weights().isEmpty() && room) {
        present.add(backend.id());
        engines.computeIfAbsent(backend.id(), id -> follow(backend.address(), false));
      }
    }
    engines
        .entrySet()
        .removeIf(
            entry -> {
              boolean gone = !present.contains(entry.getKey());
              if (gone) {
                entry.getValue().follower().close();
              }
              return gone;
            });
  }

  private void followStore() {
    InetSocketAddress address =
        following ? storeInForce.get().map(CacheStore::address).orElse(null) : null;
    Holder followed = store;
    if (followed != null && !followed.address().equals(address)) {
      followed.follower().close();
      store = null;
    }
    if (store == null && address != null) {
      store = follow(address, true);
    }
  }

  private Holder follow(InetSocketAddress address, boolean listFirst) {
    HeldParts held = new HeldParts();
    CacheFollower follower = new CacheFollower(eventLoop, source, address, held, listFirst);
    follower.start();
    return new Holder(address, held, follower);
  }

  /** Returns what an engine keeps; nothing where it is not followed. */
  public HeldParts engine(String id) {
    Holder holder = engines.get(id);
    return holder == null ? NOTHING : holder.held();
  }

  /** Returns the address of the store, if it answers. */
  public Optional<InetSocketAddress> storeAddress() {
    Holder holder = store;
    return holder != null && holder.held().isAvailable()
        ? Optional.of(holder.address())
        : Optional.empty();
  }

  /** Returns what the store keeps. */
  public HeldParts store() {
    Holder holder = store;
    return holder == null ? NOTHING : holder.held();
  }
}
