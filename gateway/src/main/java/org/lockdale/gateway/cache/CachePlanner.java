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

  /** A saved part is saved again after this time, since the store drops what lies unused. */
  private static final long SAVED_MILLIS = 10_000;

  /** A part that an engine has used lately is believed to be there still. */
  private static final long HELD_MILLIS = 1_500;

  private final RecentSet saved = new RecentSet(CAPACITY, SAVED_MILLIS);
  private final RecentSet held = new RecentSet(CAPACITY, HELD_MILLIS);

  /**
   * Plans the moves around one request.
   *
   * @param target engine that serves it
   * @param home engine at which requests with its prefix are usually served, or null
   * @param namespace namespace of its cached prompts
   * @param parts parts of its prompt; the last one is its own
   * @param store store of cached prompts, if there is one
   * @param nowMillis monotonic time
   */
  public CacheTransfer plan(
      TrackedBackend target,
      @Nullable TrackedBackend home,
      String namespace,
      List<PromptPart> parts,
      Optional<CacheStore> store,
      long nowMillis) {
    if (parts.size() < 2) {
      return CacheTransfer.NONE;
    }
    long space = HASH.hashChars(namespace);
    long prefix = mix(space, parts.get(parts.size() - 2).id());
    boolean warm = !held.add(mix(prefix, target.backend().id()), nowMillis);
    InetSocketAddress storeAddress = store.map(CacheStore::address).orElse(null);
    InetSocketAddress source = null;
    if (!warm) {
      boolean elsewhere = home != null && home.identity() != target.identity();
      source = elsewhere ? home.backend().address() : storeAddress;
    }
    boolean unsaved = saved.add(mix(space, parts.get(0).id()), nowMillis);
    return new CacheTransfer(source, unsaved ? storeAddress : null);
  }

  private static long mix(long seed, String text) {
    return LongHashFunction.xx3(seed).hashChars(text);
  }
}
