package org.lockdale.gateway.cache;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Port through which the contents of a holder of cached prompts are read. The futures complete
 * exceptionally where the holder can't be reached.
 */
public interface CacheEventSource {

  /**
   * Waits for changes.
   *
   * @param holder address of the holder
   * @param position position at which to start, from the previous page of the holder
   * @param wait longest time to wait for a change
   */
  CompletableFuture<CacheEventPage> changes(
      InetSocketAddress holder, CachePosition position, Duration wait);

  /**
   * Reads all parts that the holder keeps.
   *
   * @param holder address of the holder
   */
  CompletableFuture<CacheEventPage> contents(InetSocketAddress holder);
}
