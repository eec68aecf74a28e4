package org.lockdale.gateway.rate;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Requests of this node to one backend that the backend may receive now or has received recently. A
 * request whose response has not begun may still be on its way: a connection, a link or the backend
 * may hold it up, and release it with others. Performs no I/O; the time is passed in. Not
 * thread-safe.
 */
final class SentRequests {

  /** Window in which a backend tolerates a limited number of requests, in milliseconds. */
  static final long WINDOW_MILLIS = 4_000;

  /**
   * Time after which a request without a response has arrived or never will, in milliseconds. This
   * also ends the wait for responses that take long.
   */
  private static final long MAX_UNCONFIRMED_MILLIS = 30_000;

  private final List<RateSend> unconfirmed = new ArrayList<>();

  /** Monotonic times by which requests had arrived, in ascending order. */
  private final Deque<Long> arrivedBy = new ArrayDeque<>();

  /** Adds a request that is sent now. */
  void add(RateSend send) {
    unconfirmed.add(send);
  }

  /**
   * Records that the response to a request has begun, or that its attempt ended without one. A
   * response shows that the requests that were sent before its own have arrived as well.
   */
  void end(RateSend send, RateSend.End end, long nowMillis) {
    switch (end) {
      case ANSWERED -> {
        confirm(send, nowMillis);
        unconfirmed.stream()
            .filter(other -> other.sentAtMillis() <= send.sentAtMillis())
            .toList()
            .forEach(earlier -> confirm(earlier, nowMillis));
      }
      case CLOSED -> confirm(send, nowMillis);
      case NOT_SENT -> unconfirmed.remove(send);
      case GIVEN_UP -> {
        // The backend may still read it.
      }
      default -> throw new AssertionError(end);
    }
  }

  private void confirm(RateSend send, long nowMillis) {
    if (unconfirmed.remove(send)) {
      arrivedBy.addLast(nowMillis);
    }
  }

  /** Returns how many requests may arrive now or have arrived within the window until now. */
  int count(long nowMillis) {
    unconfirmed.removeIf(send -> nowMillis - send.sentAtMillis() >= MAX_UNCONFIRMED_MILLIS);
    while (!arrivedBy.isEmpty() && nowMillis - arrivedBy.getFirst() >= WINDOW_MILLIS) {
      arrivedBy.removeFirst();
    }
    return unconfirmed.size() + arrivedBy.size();
  }
}
