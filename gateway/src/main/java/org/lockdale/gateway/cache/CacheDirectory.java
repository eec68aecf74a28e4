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
 * Known contents of each engine and each store of cached prompts. The contents are kept current by
 * one follower for each holder. The followers run on one event loop; the request path reads from
 * any thread.
 */
public final class CacheDirectory {

  private static final long RECONCILE_MILLIS = 500;

  /** Maximum number of engines to follow; the contents of further ones stay unknown. */
  private static final int MAX_FOLLOWED_ENGINES = 256;

  private static final HeldParts EMPTY = new HeldParts();

  /**
   * A store that responds.
   *
   * @param address address at which it is reached
   * @param held parts that it holds
   */
  public record StoreView(InetSocketAddress address, HeldParts held) {}

  private record Holder(InetSocketAddress address, HeldParts held, CacheFollower follower) {}

  private final EventLoop eventLoop;
  private final CacheEventSource source;
  private final Supplier<BackendTable> backends;
  private final Supplier<List<CacheStore>> configuredStores;
  private final Map<String, Holder> engines = new ConcurrentHashMap<>();
  private final Map<InetSocketAddress, Holder> stores = new ConcurrentHashMap<>();
  private volatile boolean following;

  /**
   * Creates a directory; {@link #start} starts it.
   *
   * @param eventLoop event loop that runs the followers
   * @param source source of the holders' changes and contents
   * @param backends the backends with a record in the shared store
   * @param configuredStores the stores of the configuration in force
   */
  public CacheDirectory(
      EventLoop eventLoop,
      CacheEventSource source,
      Supplier<BackendTable> backends,
      Supplier<List<CacheStore>> configuredStores) {
    this.eventLoop = eventLoop;
    this.source = source;
    this.backends = backends;
    this.configuredStores = configuredStores;
  }

  /** Starts to reconcile the followers with the present holders. */
  public void start() {
    eventLoop.scheduleAtFixedRate(
        this::reconcile, RECONCILE_MILLIS, RECONCILE_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Sets whether the holders are followed.
   *
   * @param enabled whether to follow them; if false, the followers are closed and what they
   *     recorded is dropped
   */
  public void follow(boolean enabled) {
    following = enabled;
    eventLoop.execute(this::reconcile);
  }

  private void reconcile() {
    followStores();
    Set<String> present = new HashSet<>();
    for (TrackedBackend tracked : backends.get().all()) {
      Backend backend = tracked.backend();
      boolean hasCapacity = present.size() < MAX_FOLLOWED_ENGINES;
      if (following && !backend.weights().isEmpty() && hasCapacity) {
        present.add(backend.id());
        engines.computeIfAbsent(backend.id(), id -> follow(backend.address(), false));
      }
    }
    closeAllBut(present, engines);
  }

  private void followStores() {
    Set<InetSocketAddress> present = new HashSet<>();
    if (following) {
      configuredStores.get().forEach(store -> present.add(store.address()));
    }
    present.forEach(address -> stores.computeIfAbsent(address, absent -> follow(address, true)));
    closeAllBut(present, stores);
  }

  private static <K> void closeAllBut(Set<K> present, Map<K, Holder> holders) {
    holders
        .entrySet()
        .removeIf(
            entry -> {
              boolean isAbsent = !present.contains(entry.getKey());
              if (isAbsent) {
                entry.getValue().follower().close();
              }
              return isAbsent;
            });
  }

  private Holder follow(InetSocketAddress address, boolean snapshotFirst) {
    HeldParts held = new HeldParts();
    CacheFollower follower = new CacheFollower(eventLoop, source, address, held, snapshotFirst);
    follower.start();
    return new Holder(address, held, follower);
  }

  /** Returns the parts that an engine holds; none where it is not followed. */
  public HeldParts engine(String id) {
    Holder holder = engines.get(id);
    return holder == null ? EMPTY : holder.held();
  }

  /**
   * Returns the addresses of the configured stores except those known not to respond. A node that
   * follows no holders does not know which these are and returns all stores.
   */
  public List<InetSocketAddress> storeAddresses() {
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (CacheStore store : configuredStores.get()) {
      Holder holder = stores.get(store.address());
      if (holder == null || !holder.held().isUnresponsive()) {
        addresses.add(store.address());
      }
    }
    return addresses;
  }

  /** Returns the stores that respond. */
  public List<StoreView> stores() {
    List<StoreView> available = new ArrayList<>(stores.size());
    for (Holder holder : stores.values()) {
      if (holder.held().isAvailable()) {
        available.add(new StoreView(holder.address(), holder.held()));
      }
    }
    return available;
  }
}
