package org.lockdale.gateway.cache;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Follows the contents of one holder of cached prompts. The holder counts as unavailable while it
 * does not respond. Runs on one event loop.
 */
final class CacheFollower {

  /** Longest time for which a poll waits at the holder for a change. */
  private static final Duration LONG_POLL_WAIT = Duration.ofMillis(800);

  private static final long FIRST_RETRY_MILLIS = 300;
  private static final int MAX_DOUBLINGS = 4;

  /**
   * Delay between two polls, in milliseconds. Changes are batched for this time, so that a busy
   * holder does not wake the node for each of them.
   */
  private static final long BATCH_MILLIS = 100;

  private final EventLoop eventLoop;
  private final CacheEventSource source;
  private final InetSocketAddress holder;
  private final HeldParts held;
  private final boolean snapshotFirst;
  private CachePosition position = CachePosition.START;
  private boolean inSync;
  private int failures;
  private boolean closed;

  /**
   * Creates a follower; {@link #start} starts it.
   *
   * @param eventLoop event loop that runs the follower
   * @param source source of the holder's changes and contents
   * @param holder address of the holder
   * @param held receives the parts that the holder keeps
   * @param snapshotFirst whether to read all parts first, which interrupts the work of the holder;
   *     otherwise only parts added from the first response on are known
   */
  CacheFollower(
      EventLoop eventLoop,
      CacheEventSource source,
      InetSocketAddress holder,
      HeldParts held,
      boolean snapshotFirst) {
    this.eventLoop = eventLoop;
    this.source = source;
    this.holder = holder;
    this.held = held;
    this.snapshotFirst = snapshotFirst;
  }

  void start() {
    eventLoop.execute(this::poll);
  }

  void close() {
    closed = true;
    held.setAvailable(false);
  }

  private void poll() {
    if (closed) {
      return;
    }
    CompletableFuture<CacheEventPage> response =
        inSync || !snapshotFirst
            ? source.changes(holder, position, LONG_POLL_WAIT)
            : source.contents(holder);
    response.whenCompleteAsync(
        (page, failure) -> {
          if (closed) {
            return;
          }
          if (failure == null) {
            accept(page);
          } else {
            pollFailed(failure);
          }
        },
        eventLoop);
  }

  private void accept(CacheEventPage page) {
    failures = 0;
    boolean restarted = inSync && page.epoch() != position.epoch();
    if (restarted || page.gap()) {
      Logger.info("event=cache-gap holder={} restarted={}", holder, restarted);
      held.clear();
    }
    if (restarted && snapshotFirst) {
      inSync = false;
      poll();
      return;
    }
    inSync = true;
    position = new CachePosition(page.epoch(), page.next());
    page.events().forEach(held::apply);
    held.setAvailable(true);
    eventLoop.schedule(this::poll, BATCH_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void pollFailed(Throwable failure) {
    if (held.isAvailable()) {
      Logger.info("event=cache-holder-down holder={} cause=\"{}\"", holder, failure.getMessage());
    }
    held.setAvailable(false);
    held.clear();
    inSync = false;
    position = CachePosition.START;
    long delay = FIRST_RETRY_MILLIS << Math.min(failures, MAX_DOUBLINGS);
    failures++;
    eventLoop.schedule(this::poll, delay, TimeUnit.MILLISECONDS);
  }
}
