package org.lockdale.gateway.cache;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.caller.PromptPart;

/**
 * Decides which cached prompts are moved instead of being computed anew. What a namespace holds was
 * made by one version of the weights for callers who may share it, so a move within a namespace is
 * always safe; where beliefs are wrong, a move finds nothing and costs a millisecond.
 */
public final class CachePlanner {

  private final CacheDirectory directory;

  /** Creates a planner over what holders keep. */
  public CachePlanner(CacheDirectory directory) {
    this.directory = directory;
  }

  /**
   * Returns what an engine lacks of a prompt's shared parts. A part is of use only if all parts
   * before it are there too.
   */
  public PrefixNeed need(
      TrackedBackend engine, String namespace, List<PromptPart> parts, long nowMillis) {
    HeldParts held = directory.engine(engine.backend().id());
    HeldParts stored = directory.store();
    long fetchable = 0;
    long unknown = 0;
    boolean prefixHeld = true;
    boolean prefixStored = directory.storeAddress().isPresent();
    for (PromptPart part : sharedOf(parts)) {
      long key = HeldParts.keyOf(namespace, part.id());
      prefixHeld = prefixHeld && held.contains(key, nowMillis);
      prefixStored = prefixStored && stored.isConfirmed(key);
      if (prefixHeld) {
        continue;
      }
      if (prefixStored) {
        fetchable += part.tokens();
      } else {
        unknown += part.tokens();
      }
    }
    return new PrefixNeed(fetchable, unknown);
  }

  /**
   * Plans the moves around one request, and expects the prompt's shared parts at the engine from
   * now on.
   *
   * @param target engine that serves it
   * @param others engines that may hold parts of the prompt
   * @param namespace namespace of its cached prompts
   * @param parts parts of its prompt; the last one is its own
   * @param nowMillis monotonic time
   */
  public CacheTransfer plan(
      TrackedBackend target,
      List<TrackedBackend> others,
      String namespace,
      List<PromptPart> parts,
      long nowMillis) {
    List<Long> keys = new ArrayList<>();
    sharedOf(parts).forEach(part -> keys.add(HeldParts.keyOf(namespace, part.id())));
    if (keys.isEmpty()) {
      return CacheTransfer.NONE;
    }
    InetSocketAddress source = sourceOf(target, others, keys);
    HeldParts held = directory.engine(target.backend().id());
    keys.forEach(key -> held.expect(key, nowMillis));
    return new CacheTransfer(source, destinationOf(keys, nowMillis));
  }

  private static List<PromptPart> sharedOf(List<PromptPart> parts) {
    return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
  }

  /**
   * Returns the holder of the longest prefix that is longer than the engine's own. What is only
   * expected does not count: it may not have been computed yet.
   */
  private @Nullable InetSocketAddress sourceOf(
      TrackedBackend target, List<TrackedBackend> others, List<Long> keys) {
    int longest = depthOf(directory.engine(target.backend().id()), keys);
    InetSocketAddress source = null;
    InetSocketAddress storeAddress = directory.storeAddress().orElse(null);
    if (storeAddress != null) {
      int depth = depthOf(directory.store(), keys);
      if (depth > longest) {
        longest = depth;
        source = storeAddress;
      }
    }
    for (TrackedBackend other : others) {
      int depth = depthOf(directory.engine(other.backend().id()), keys);
      if (depth > longest) {
        longest = depth;
        source = other.backend().address();
      }
    }
    return source;
  }

  private static int depthOf(HeldParts held, List<Long> keys) {
    int depth = 0;
    while (depth < keys.size() && held.isConfirmed(keys.get(depth))) {
      depth++;
    }
    return depth;
  }

  /** A prompt is saved by the request that first finds its shared parts missing in the store. */
  private @Nullable InetSocketAddress destinationOf(List<Long> keys, long nowMillis) {
    InetSocketAddress storeAddress = directory.storeAddress().orElse(null);
    boolean missing =
        storeAddress != null && directory.store().expect(keys.get(keys.size() - 1), nowMillis);
    return missing ? storeAddress : null;
  }
}
