package org.lockdale.gateway.cache;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.placement.Rendezvous;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.caller.PromptPart;

/**
 * Decides which cached prompts are transferred instead of being computed again. The contents of a
 * namespace were computed with one version of the weights for callers who may share them, so a
 * transfer within a namespace is always safe. Where the known contents are outdated, a transfer
 * finds nothing and costs a millisecond.
 */
public final class CachePlanner {

  /** Minimum number of tokens for which other nodes are notified. Fewer are not worth a message. */
  private static final long MIN_ANNOUNCED_TOKENS = 1_000;

  private final CacheDirectory directory;
  private final BiConsumer<String, List<Long>> announceExpected;

  /**
   * Creates a planner.
   *
   * @param directory known contents of the holders
   * @param announceExpected notifies other nodes of the parts, given by their keys, that an engine,
   *     given by its id, will hold soon
   */
  public CachePlanner(CacheDirectory directory, BiConsumer<String, List<Long>> announceExpected) {
    this.directory = directory;
    this.announceExpected = announceExpected;
  }

  /**
   * Looks up which shared parts of a prompt are available at the holders.
   *
   * @param engines engines that may hold some of them
   * @param namespace namespace of the cached prompts
   * @param parts parts of the prompt, the last of which is unique to the request
   * @param nowMillis monotonic time in milliseconds
   */
  public PrefixAvailability locate(
      List<TrackedBackend> engines, String namespace, List<PromptPart> parts, long nowMillis) {
    List<PromptPart> shared = parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
    List<Long> keys = new ArrayList<>(shared.size());
    shared.forEach(part -> keys.add(HeldParts.keyOf(namespace, part.id())));
    int confirmed = 0;
    int expected = 0;
    for (CacheDirectory.StoreView store : directory.stores()) {
      confirmed = Math.max(confirmed, confirmedDepth(store.held(), keys));
    }
    for (TrackedBackend engine : engines) {
      HeldParts held = directory.engine(engine.backend().id());
      confirmed = Math.max(confirmed, confirmedDepth(held, keys));
      expected = Math.max(expected, expectedDepth(held, keys, nowMillis));
    }
    return new PrefixAvailability(List.copyOf(shared), keys, confirmed, expected);
  }

  /**
   * Returns the shared parts of a prompt that an engine lacks.
   *
   * @param engine the engine
   * @param availability availability of the shared parts
   * @param nowMillis monotonic time in milliseconds
   */
  public MissingPrefix missingPrefix(
      TrackedBackend engine, PrefixAvailability availability, long nowMillis) {
    HeldParts held = directory.engine(engine.backend().id());
    return availability.missingFrom(expectedDepth(held, availability.keys(), nowMillis));
  }

  /**
   * Plans the transfers around one request, and expects the shared parts of the prompt at the
   * engine from now on.
   *
   * @param target engine that serves the request
   * @param others engines that may hold parts of the prompt
   * @param availability availability of the shared parts
   * @param nowMillis monotonic time in milliseconds
   */
  public CacheTransfer plan(
      TrackedBackend target,
      List<TrackedBackend> others,
      PrefixAvailability availability,
      long nowMillis) {
    List<Long> keys = availability.keys();
    if (keys.isEmpty()) {
      return CacheTransfer.NONE;
    }
    InetSocketAddress source = sourceOf(target, others, keys);
    MissingPrefix need = missingPrefix(target, availability, nowMillis);
    HeldParts held = directory.engine(target.backend().id());
    keys.forEach(key -> held.expect(key, nowMillis));
    if (need.computed() >= MIN_ANNOUNCED_TOKENS) {
      announceExpected.accept(target.backend().id(), keys);
    }
    return new CacheTransfer(source, destinationOf(keys, nowMillis));
  }

  /**
   * Returns the holder, other than the engine itself, of the longest prefix. Where none is known to
   * hold any of it, returns the home of the prompt among the stores. An engine fetches only the
   * parts that it lacks, so a source costs nothing where the known contents are right. Where they
   * are not, because the engine has dropped parts or the home has received them while the request
   * waited, it saves computing them again.
   */
  private @Nullable InetSocketAddress sourceOf(
      TrackedBackend target, List<TrackedBackend> others, List<Long> keys) {
    int maxDepth = 0;
    InetSocketAddress source = homeAmong(directory.storeAddresses(), keys.get(keys.size() - 1));
    for (CacheDirectory.StoreView store : directory.stores()) {
      int depth = confirmedDepth(store.held(), keys);
      if (depth > maxDepth) {
        maxDepth = depth;
        source = store.address();
      }
    }
    for (TrackedBackend other : others) {
      int depth = other == target ? 0 : confirmedDepthAt(other, keys);
      if (depth > maxDepth) {
        maxDepth = depth;
        source = other.backend().address();
      }
    }
    return source;
  }

  private int confirmedDepthAt(TrackedBackend engine, List<Long> keys) {
    return confirmedDepth(directory.engine(engine.backend().id()), keys);
  }

  private static int confirmedDepth(HeldParts held, List<Long> keys) {
    int depth = 0;
    while (depth < keys.size() && held.isConfirmed(keys.get(depth))) {
      depth++;
    }
    return depth;
  }

  private static int expectedDepth(HeldParts held, List<Long> keys, long nowMillis) {
    int depth = 0;
    while (depth < keys.size() && held.contains(keys.get(depth), nowMillis)) {
      depth++;
    }
    return depth;
  }

  /**
   * Returns the store to which the request has to save the prompt, or null for none. A prompt is
   * saved by the first request that finds its shared parts missing at their home, the store that
   * ranks first for the deepest of them. Each prompt is therefore stored once, and all stores
   * together hold as many prompts as fit into their total capacity.
   */
  private @Nullable InetSocketAddress destinationOf(List<Long> keys, long nowMillis) {
    long deepest = keys.get(keys.size() - 1);
    List<CacheDirectory.StoreView> available = directory.stores();
    InetSocketAddress home =
        homeAmong(available.stream().map(CacheDirectory.StoreView::address).toList(), deepest);
    for (CacheDirectory.StoreView store : available) {
      if (store.address().equals(home) && store.held().expect(deepest, nowMillis)) {
        return home;
      }
    }
    return null;
  }

  private static @Nullable InetSocketAddress homeAmong(List<InetSocketAddress> stores, long key) {
    InetSocketAddress home = null;
    long homeWeight = 0;
    for (InetSocketAddress store : stores) {
      long weight = Rendezvous.weight(key, Rendezvous.identityOf(store.toString()));
      if (home == null || Long.compareUnsigned(weight, homeWeight) > 0) {
        home = store;
        homeWeight = weight;
      }
    }
    return home;
  }
}
