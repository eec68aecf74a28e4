package org.lockdale.gateway.cache;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.caller.PromptPart;
import org.lockdale.gateway.configuration.CacheStore;

/**
 * Decides which cached prompts are moved instead of being computed anew. What a namespace holds was
 * made by one version of the weights for callers who may share it, so a move within a namespace is
 * always safe; where the beliefs here are wrong, a move finds nothing and costs a millisecond.
 */
public final class CachePlanner {

  private static final LongHashFunction HASH = LongHashFunction.xx3();
  private static final int CAPACITY = 8_192;

  /** A save takes this long at most until the store tells of it. */
  private static final long SAVE_MILLIS = 2_000;

  /** A part that an engine has used lately is believed to be there still. */
  private static final long HELD_MILLIS = 1_500;

  private final CacheStoreView store;
  private final RecentSet saving = new RecentSet(CAPACITY, SAVE_MILLIS);
  private final RecentSet held = new RecentSet(CAPACITY, HELD_MILLIS);

  /** Creates a planner that knows what the store keeps. */
  public CachePlanner(CacheStoreView store) {
    this.store = store;
  }

  /**
   * Plans the moves around one request.
   *
   * @param target engine that serves it
   * @param home engine at which requests with its prefix are usually served, or null
   * @param namespace namespace of its cached prompts
   * @param parts parts of its prompt; the last one is its own
   * @param storeInForce store of cached prompts, if there is one
   * @param nowMillis monotonic time
   */
  public CacheTransfer plan(
      TrackedBackend target,
      @Nullable TrackedBackend home,
      String namespace,
      List<PromptPart> parts,
      Optional<CacheStore> storeInForce,
      long nowMillis) {
    if (parts.size() < 2) {
      return CacheTransfer.NONE;
    }
    PromptPart deepest = parts.get(parts.size() - 2);
    long prefix = mix(HASH.hashChars(namespace), deepest.id());
    InetSocketAddress storeAddress =
        storeInForce.filter(known -> store.isAvailable()).map(CacheStore::address).orElse(null);
    boolean warm = !held.add(mix(prefix, target.backend().id()), nowMillis);
    InetSocketAddress source = null;
    if (!warm) {
      source = sourceOf(target, home, namespace, parts, storeAddress);
    }
    boolean wanted = storeAddress != null && !store.keeps(namespace, deepest.id());
    boolean save = wanted && saving.add(prefix, nowMillis);
    return new CacheTransfer(source, save ? storeAddress : null);
  }

  private @Nullable InetSocketAddress sourceOf(
      TrackedBackend target,
      @Nullable TrackedBackend home,
      String namespace,
      List<PromptPart> parts,
      @Nullable InetSocketAddress storeAddress) {
    if (store.keeps(namespace, parts.get(parts.size() - 2).id())) {
      return storeAddress;
    }
    if (home != null && home.identity() != target.identity()) {
      return home.backend().address();
    }
    return store.keeps(namespace, parts.get(0).id()) ? storeAddress : null;
  }

  private static long mix(long seed, String text) {
    return LongHashFunction.xx3(seed).hashChars(text);
  }
}
