package org.lockdale.gateway.cache;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.configuration.CacheStore;
import org.tinylog.Logger;

/**
 * Follows what the store of cached prompts keeps. While the store does not answer it counts as
 * down, so that engines are not sent to it. Runs on one event loop.
 */
public final class CacheStoreFollower {

  private static final Duration WAIT = Duration.ofMillis(800);
  private static final long RETRY_MILLIS = 300;

  /** Changes are gathered this long, so that a busy store does not wake the node for each. */
  private static final long GATHER_MILLIS = 60;

  private final EventLoop eventLoop;
  private final CacheEventSource source;
  private final Supplier<Optional<CacheStore>> store;
  private final CacheStoreView view;
  private @Nullable InetSocketAddress followed;
  private long epoch;
  private long next;
  private boolean known;

  /**
   * Creates a follower; {@link #start} starts it.
   *
   * @param eventLoop runs the follower
   * @param source asks the store
   * @param store the store in force
   * @param view where to write what it keeps
   */
  public CacheStoreFollower(
      EventLoop eventLoop,
      CacheEventSource source,
      Supplier<Optional<CacheStore>> store,
      CacheStoreView view) {
    this.eventLoop = eventLoop;
    this.source = source;
    this.store = store;
    this.view = view;
  }

  /** Starts to follow. */
  public void start() {
    eventLoop.execute(this::ask);
  }

  private void ask() {
    InetSocketAddress address = store.get().map(CacheStore::address).orElse(null);
    if (address == null) {
      view.setAvailable(false);
      askAfter(RETRY_MILLIS);
      return;
    }
    if (!address.equals(followed)) {
      followed = address;
      known = false;
    }
    CompletableFuture<CacheEventPage> asked =
        known ? source.changes(address, next, WAIT) : source.contents(address);
    asked.whenCompleteAsync(
        (page, failure) -> {
          if (failure == null) {
            accept(page);
          } else {
            failed(failure);
          }
        },
        eventLoop);
  }

  private void accept(CacheEventPage page) {
    boolean restarted = known && page.epoch() != epoch;
    if (restarted || page.gap()) {
      Logger.info("event=cache-store-gap restarted={}", restarted);
      known = false;
      view.clear();
      ask();
      return;
    }
    if (!known) {
      view.clear();
    }
    known = true;
    epoch = page.epoch();
    next = page.next();
    page.events().forEach(view::apply);
    if (!view.isAvailable()) {
      Logger.info("event=cache-store-up");
    }
    view.setAvailable(true);
    askAfter(GATHER_MILLIS);
  }

  private void failed(Throwable failure) {
    if (view.isAvailable()) {
      Logger.info("event=cache-store-down cause=\"{}\"", failure.getMessage());
    }
    view.setAvailable(false);
    known = false;
    askAfter(RETRY_MILLIS);
  }

  private void askAfter(long millis) {
    eventLoop.schedule(this::ask, millis, TimeUnit.MILLISECONDS);
  }
}
