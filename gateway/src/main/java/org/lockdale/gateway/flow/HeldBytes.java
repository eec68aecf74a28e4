package org.lockdale.gateway.flow;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.http.HeldMemory;
import org.tinylog.Logger;

/**
 * Counts the bytes that this node holds for callers and backends, and keeps them within its bound.
 * Handles hundreds of callers that read or send slowly beside others that don't: a response that
 * exceeds the bound closes the connection with the most queued bytes, as that frees the most for
 * one lost response. A request body closes only connections above the low mark, as others are being
 * read; if there are none, it is refused. Thread-safe. Threads that reach the bound at once may
 * close one connection more than needed.
 */
public final class HeldBytes implements HeldMemory {

  private final FlowLimits limits;
  private final Time time;
  private final AtomicLong total = new AtomicLong();
  private final AtomicLong cuts = new AtomicLong();
  private final AtomicInteger pausedStreams = new AtomicInteger();

  /** Connections that have queued bytes. */
  private final Set<ConnectionAccount> unread = ConcurrentHashMap.newKeySet();

  /**
   * Creates the count of a node.
   *
   * @param limits marks and bound
   * @param time clock, read to tell for how long a connection was unread
   */
  public HeldBytes(FlowLimits limits, Time time) {
    this.limits = limits;
    this.time = time;
  }

  /** Returns the limits of the node. */
  public FlowLimits limits() {
    return limits;
  }

  /** Returns the number of bytes that are held now. */
  public long heldBytes() {
    return total.get();
  }

  /** Returns the number of connections that were cut off as their callers did not read. */
  public long cutOffs() {
    return cuts.get();
  }

  /** Returns the number of responses whose backend is not read now. */
  public int pausedStreams() {
    return pausedStreams.get();
  }

  /** Counts a response whose backend is no longer read. */
  public void recordPause() {
    pausedStreams.incrementAndGet();
  }

  /** Counts a response whose backend is read again or that has ended. */
  public void recordResume() {
    pausedStreams.decrementAndGet();
  }

  @Override
  public Account open(Runnable connection) {
    return new ConnectionAccount(connection);
  }

  /**
   * Closes connections until the count is within the bound.
   *
   * @param minQueuedBytes queue below which a connection is not closed
   * @return whether the count is within the bound
   */
  private boolean makeRoom(long minQueuedBytes) {
    while (total.get() > limits.boundBytes()) {
      ConnectionAccount largest = largest(minQueuedBytes);
      if (largest == null) {
        return false;
      }
      largest.cutOff(largest.unreadMillis());
    }
    return true;
  }

  private @Nullable ConnectionAccount largest(long minQueuedBytes) {
    ConnectionAccount largest = null;
    long most = minQueuedBytes - 1;
    for (ConnectionAccount each : unread) {
      long queued = each.queued.get();
      if (queued > most) {
        most = queued;
        largest = each;
      }
    }
    return largest;
  }

  /** Counts the bytes of one connection. */
  private final class ConnectionAccount implements Account {
    private final Runnable connection;
    private final AtomicLong queued = new AtomicLong();
    private final AtomicLong reserved = new AtomicLong();
    private final AtomicBoolean closed = new AtomicBoolean();
    private final AtomicBoolean cut = new AtomicBoolean();
    private volatile long unreadSinceMillis;

    ConnectionAccount(Runnable connection) {
      this.connection = connection;
    }

    private long unreadMillis() {
      return time.steadyMillis() - unreadSinceMillis;
    }

    @Override
    public void setQueued(long bytes) {
      if (closed.get()) {
        return;
      }
      long before = queued.getAndSet(bytes);
      if (bytes < before || before == 0) {
        unreadSinceMillis = time.steadyMillis();
      }
      long now = total.addAndGet(bytes - before);
      if (before == 0) {
        unread.add(this);
      } else if (bytes == 0) {
        unread.remove(this);
      }
      if (closed.get()) {
        releaseAll();
      } else if (bytes > before && now > limits.boundBytes()) {
        makeRoom(1);
      }
    }

    @Override
    public boolean tryReserveRequest(long bytes) {
      return tryReserve(bytes, limits.lowMarkBytes());
    }

    @Override
    public boolean tryReserveResponse(long bytes) {
      return tryReserve(bytes, 1);
    }

    private boolean tryReserve(long bytes, long minQueuedBytes) {
      if (closed.get()) {
        return true;
      }
      reserved.addAndGet(bytes);
      if (total.addAndGet(bytes) > limits.boundBytes() && !makeRoom(minQueuedBytes)) {
        release(bytes);
        return false;
      }
      if (closed.get()) {
        releaseAll();
      }
      return true;
    }

    @Override
    public void release(long bytes) {
      long before = reserved.getAndUpdate(held -> Math.max(0, held - bytes));
      total.addAndGet(-Math.min(before, bytes));
    }

    @Override
    public void cutOff(long unreadMillis) {
      long held = queued.get() + reserved.get();
      if (closed.get() || !cut.compareAndSet(false, true)) {
        unread.remove(this);
        return;
      }
      close();
      cuts.incrementAndGet();
      Logger.warn(
          "event=slow-reader-cut held-bytes={} unread-millis={} node-held-bytes={} bound-bytes={}",
          held,
          unreadMillis,
          total.get(),
          limits.boundBytes());
      connection.run();
    }

    @Override
    public boolean isCutOff() {
      return cut.get();
    }

    @Override
    public void close() {
      closed.set(true);
      releaseAll();
    }

    /** Each count is taken out once, so that it may be called again by a late change. */
    private void releaseAll() {
      unread.remove(this);
      total.addAndGet(-queued.getAndSet(0) - reserved.getAndSet(0));
    }
  }
}
