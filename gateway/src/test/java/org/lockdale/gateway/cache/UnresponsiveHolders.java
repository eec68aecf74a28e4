package org.lockdale.gateway.cache;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Holders of cached prompts that never respond. */
public final class UnresponsiveHolders implements CacheEventSource {

  @Override
  public CompletableFuture<CacheEventPage> changes(
      InetSocketAddress holder, CachePosition position, Duration wait) {
    return new CompletableFuture<>();
  }

  @Override
  public CompletableFuture<CacheEventPage> contents(InetSocketAddress holder) {
    return new CompletableFuture<>();
  }
}
