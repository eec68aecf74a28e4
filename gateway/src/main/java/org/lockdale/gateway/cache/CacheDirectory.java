package org.lockdale.gateway.cache;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.configuration.CacheStore;

/**
 * What each engine and each store of cached prompts is believed to keep. A follower a holder runs
 * on one event loop; the request path reads from any thread.
 */
public final class CacheDirectory {

  private static final long RECONCILE_MILLIS = 500;

  /** Engines beyond this number are not followed; what they keep stays unknown. */
  private static final int MAX_FOLLOWED_ENGINES = 256;

  private static final HeldParts NOTHING = new HeldParts();

  /**
   * A store that answers.
   *
   * @param address where it is reached
   * @param held what it keeps
   */
  public record StoreView(InetSocketAddress address, HeldParts held) {}

  private record Holder(InetSocketAddress address, HeldParts held, CacheFollower follower) {}

  private final EventLoop eventLoop;
  private final CacheEventSource source;
  private final Supplier<BackendTable> backends;
  private final Supplier<List<CacheStore>> storesInForce;
  private final Map<String, Holder> engines = new ConcurrentHashMap<>();
  private final Map<InetSocketAddress, Holder> stores = new ConcurrentHashMap<>();
  private volatile boolean following;

  /**
   * Creates a directory; {@link #start} starts it.
   *
   * @param eventLoop runs the followers
   * @param source asks holders
   * @param backends back ends on record
   * @param storesInForce the stores in force
   */
  public CacheDirectory(
      EventLoop eventLoop,
      CacheEventSource source,
      Supplier<BackendTable> backends,
      Supplier<List<CacheStore>> storesInForce) {
    this.eventLoop = eventLoop;
    this.source = source;
    this.backends = backends;
    this.storesInForce = storesInForce;
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
    followStores();
    Set<String> present = new HashSet<>();
    for (TrackedBackend tracked : backends.get().all()) {
      Backend backend = tracked.backend();
      boolean room = present.size() < MAX_FOLLOWED_ENGINES;
      if (following && !backend.weights().isEmpty() && room) {
        present.add(backend.id());
        engines.computeIfAbsent(backend.id(), id -> follow(backend.address(), false));
      }
    }
    closeAllBut(present, engines);
  }

  private void followStores() {
    Set<InetSocketAddress> present = new HashSet<>();
    if (following) {
      storesInForce.get().forEach(store -> present.add(store.address()));
    }
    present.forEach(address -> stores.computeIfAbsent(address, absent -> follow(address, true)));
    closeAllBut(present, stores);
  }

  private static <K> void closeAllBut(Set<K> present, Map<K, Holder> holders) {
    holders
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

  /**
   * Returns the addresses of the stores in force, without those that are known not to answer. A
   * node that follows no holders knows of none, and so returns all.
   */
  public List<InetSocketAddress> storeAddresses() {
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (CacheStore store : storesInForce.get()) {
      Holder holder = stores.get(store.address());
      if (holder == null || !holder.held().isSilent()) {
        addresses.add(store.address());
      }
    }
    return addresses;
  }

  /** Returns the stores that answer. */
  public List<StoreView> stores() {
    List<StoreView> answering = new ArrayList<>(stores.size());
    for (Holder holder : stores.values()) {
      if (holder.held().isAvailable()) {
        answering.add(new StoreView(holder.address(), holder.held()));
      }
    }
    return answering;
  }
}
