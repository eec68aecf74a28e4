package org.lockdale.gateway.cache;

import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;

/**
 * Moves of cached prompts around one request.
 *
 * @param source where the engine first takes what it lacks of the prompt, or null for nowhere
 * @param destination where it sends the parts that it has read, or null for nowhere
 */
public record CacheTransfer(
    @Nullable InetSocketAddress source, @Nullable InetSocketAddress destination) {

  /** Nothing is moved. */
  public static final CacheTransfer NONE = new CacheTransfer(null, null);
}
