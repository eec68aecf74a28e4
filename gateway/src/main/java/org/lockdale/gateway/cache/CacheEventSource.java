package org.lockdale.gateway.cache;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Port by which a holder of cached prompts tells what it keeps. Calls fail where it is down. */
public interface CacheEventSource {

  /**
   * Waits for changes.
   *
   * @param holder address of the holder
   * @param since where to begin
   * @param wait longest time to wait for one
   */
  CompletableFuture<CacheEventPage> changes(InetSocketAddress holder, long since, Duration wait);

  /** Reads all that the holder keeps. */
  CompletableFuture<CacheEventPage> contents(InetSocketAddress holder);
}
