package org.lockdale.gateway.cache;

import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;

/**
 * Transfers of cached prompts around one request.
 *
 * @param source holder from which the engine first fetches the parts that it lacks, or null for
 *     none
 * @param destination store to which the engine sends the parts that it has processed, or null for
 *     none
 */
public record CacheTransfer(
    @Nullable InetSocketAddress source, @Nullable InetSocketAddress destination) {

  /** No transfers. */
  public static final CacheTransfer NONE = new CacheTransfer(null, null);
}
