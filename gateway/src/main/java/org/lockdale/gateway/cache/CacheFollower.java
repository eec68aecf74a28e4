package org.lockdale.gateway.cache;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Follows what one holder of cached prompts keeps. While it does not answer it counts as down. Runs
 * on one event loop.
 */
final class CacheFollower {

  private static final Duration WAIT = Duration.ofMillis(800);
  private static final long FIRST_RETRY_MILLIS = 300;
  private static final int MAX_DOUBLINGS = 4;

  /** Changes are gathered this long, so that a busy holder does not wake the node for each. */
  private static final long GATHER_MILLIS = 100;

  private final EventLoop eventLoop;
  private final CacheEventSource source;
  private final InetSocketAddress holder;
  private final HeldParts held;
  private final boolean listFirst;
  private long epoch;
  private long next;
  private boolean known;
  private int failures;
  private boolean closed;

  /**
   * Creates a follower; {@link #start} starts it.
   *
   * @param eventLoop runs the follower
   * @param source asks the holder
   * @param holder address of the holder
   * @param held where to write what it keeps
   * @param listFirst whether to read all that it keeps at first, which holds its work up; else only
   *     what is added from the first answer on is known
   */
  CacheFollower(
      EventLoop eventLoop,
      CacheEventSource source,
      InetSocketAddress holder,
      HeldParts held,
      boolean listFirst) {
    this.eventLoop = eventLoop;
    this.source = source;
    this.holder = holder;
    this.held = held;
    this.listFirst = listFirst;
  }

  void start() {
    eventLoop.execute(this::ask);
  }

  void close() {
    closed = true;
    held.setAvailable(false);
  }

  private void ask() {
    if (closed) {
      return;
    }
    CompletableFuture<CacheEventPage> asked =
        known || !listFirst ? source.changes(holder, next, WAIT) : source.contents(holder);
    asked.whenCompleteAsync(
        (page, failure) -> {
          if (closed) {
            return;
          }
          if (failure == null) {
            accept(page);
          } else {
            failed(failure);
          }
        },
        eventLoop);
  }

  private void accept(CacheEventPage page) {
    failures = 0;
    boolean restarted = known && page.epoch() != epoch;
    if (restarted || page.gap()) {
      Logger.info("event=cache-gap holder={} restarted={}", holder, restarted);
      held.clear();
    }
    if (restarted && listFirst) {
      known = false;
      ask();
      return;
    }
    known = true;
    epoch = page.epoch();
    next = page.next();
    page.events().forEach(held::apply);
    held.setAvailable(true);
    eventLoop.schedule(this::ask, GATHER_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void failed(Throwable failure) {
    if (held.isAvailable()) {
      Logger.info("event=cache-holder-down holder={} cause=\"{}\"", holder, failure.getMessage());
    }
    held.setAvailable(false);
    held.clear();
    known = false;
    next = 0;
    long delay = FIRST_RETRY_MILLIS << Math.min(failures, MAX_DOUBLINGS);
    failures++;
    eventLoop.schedule(this::ask, delay, TimeUnit.MILLISECONDS);
  }
}
