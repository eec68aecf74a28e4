package org.lockdale.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.caller.CallerRequest;
import org.lockdale.http.HttpReply;
import org.lockdale.http.ReplyWriter;
import org.lockdale.http.ServerSentEventDecoder;
import org.tinylog.Logger;

/**
 * The response to the caller of one request. One source at a time writes it: the current attempt,
 * the current call to another node, or this node itself. Whatever any other source writes is
 * dropped, so that no caller gets the responses of two runs. Confined to the event loop of the
 * caller's connection.
 */
final class CallerResponse {

  private static final String THIS_NODE = "this-node";

  private final ReplyWriter replies;
  private final String requestId;
  private final long arrivedAtMillis;
  private @Nullable Source current;
  private boolean staleLogged;
  private boolean started;
  private int status;
  private @Nullable String lastEventId;

  /** Number of the last event, or {@link ServerSentEventDecoder#NO_ID} if its id is no number. */
  private long lastEventNumber;

  private long firstEventMillis = -1;
  private long latestEventAtMillis;
  private long longestGapMillis;
  private long events;

  /**
   * Creates the response of a request.
   *
   * @param replies the caller's connection
   * @param arrivedAtMillis monotonic time at which the request arrived
   */
  CallerResponse(ReplyWriter replies, CallerRequest request, long arrivedAtMillis) {
    this.replies = replies;
    this.requestId = request.id();
    this.lastEventId = request.lastEventId();
    this.lastEventNumber = numberOf(lastEventId);
    this.arrivedAtMillis = arrivedAtMillis;
  }

  /**
   * Returns a new source, which may write once it is opened.
   *
   * @param name name of the source in the log
   * @param beforeStart run before the source sends the head of a stream
   */
  Source source(String name, Runnable beforeStart) {
    return new Source(name, beforeStart);
  }

  /** Returns an opened source for a response of this node itself. */
  Source openOwn() {
    Source own = source(THIS_NODE, () -> {});
    own.open();
    return own;
  }

  /** Lets no source write the response until the next one is opened. */
  void close() {
    current = null;
  }

  /** Returns whether the head of a stream was sent, so that no other response can be sent. */
  boolean hasStarted() {
    return started;
  }

  /** Returns the status that was sent to the caller; 0 before that. */
  int status() {
    return status;
  }

  /**
   * Returns the id of the last event forwarded to the caller. Initially the last one that the
   * caller reports as received; null if none.
   */
  @Nullable String lastEventId() {
    return lastEventId;
  }

  /** Returns the time from arrival to the first event, in milliseconds; -1 before it. */
  long firstEventMillis() {
    return firstEventMillis;
  }

  /** Returns the monotonic time of the latest event, in milliseconds. */
  long latestEventAtMillis() {
    return latestEventAtMillis;
  }

  /** Returns the longest time between two events, in milliseconds. */
  long longestGapMillis() {
    return longestGapMillis;
  }

  /** Returns the number of events. */
  long events() {
    return events;
  }

  private void recordEvent(long nowMillis) {
    events++;
    if (firstEventMillis < 0) {
      firstEventMillis = nowMillis - arrivedAtMillis;
    } else {
      longestGapMillis = Math.max(longestGapMillis, nowMillis - latestEventAtMillis);
    }
    latestEventAtMillis = nowMillis;
  }

  /**
   * A source of the response. What it writes is dropped, and false returned, once another source
   * was opened or the response was closed to it; what it reads from is to be cancelled then.
   */
  final class Source {

    private final String name;
    private final Runnable beforeStart;
    private int streamStatus;
    private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;
    private boolean resumes;

    /** Whether the latest event that had an id comes before one that the caller has. */
    private boolean behind;

    private Source(String name, Runnable beforeStart) {
      this.name = name;
      this.beforeStart = beforeStart;
    }

    /** Makes this source the only one that writes the response. */
    void open() {
      current = this;
    }

    /** Returns whether this source writes the response; logs the first one that no longer does. */
    boolean isCurrent() {
      if (current == this) {
        return true;
      }
      if (!staleLogged) {
        staleLogged = true;
        Logger.warn("event=stale-response request={} source={}", requestId, name);
      }
      return false;
    }

    /**
     * Sets the head of a stream. It is sent with the first event, unless another source has sent
     * one before.
     *
     * @param mayResume whether the stream goes on after the last event that the caller reports
     */
    void prepareStream(int newStatus, HttpHeaders streamHeaders, boolean mayResume) {
      streamStatus = newStatus;
      headers = streamHeaders;
      resumes = started || mayResume && lastEventId != null;
    }

    private void start() {
      if (!started) {
        started = true;
        beforeStart.run();
        status = streamStatus;
        replies.startStream(status, headers);
      }
    }

    /**
     * Writes one event of a stream, unless the caller has it.
     *
     * @param id id of the event, or {@link ServerSentEventDecoder#NO_ID}
     * @param event the complete event; it is not released
     * @param nowMillis the monotonic time, in milliseconds
     */
    boolean write(long id, ByteBuf event, long nowMillis) {
      if (!isCurrent()) {
        return false;
      }
      if (resumes && callerHas(id)) {
        return true;
      }
      recordEvent(nowMillis);
      if (id != ServerSentEventDecoder.NO_ID) {
        lastEventId = Long.toString(id);
        lastEventNumber = id;
      }
      start();
      send(event);
      return true;
    }

    /**
     * Returns whether the caller has an event of a run that goes on with a stream. One without an
     * id is taken to be where the last one with an id is.
     */
    private boolean callerHas(long id) {
      if (id == ServerSentEventDecoder.NO_ID) {
        return behind;
      }
      behind = id < lastEventNumber;
      return id <= lastEventNumber;
    }

    private void send(ByteBuf bytes) {
      // A slice keeps all of the buffer that was read, so what is queued is copied.
      boolean queues = replies.queuedBytes() > 0;
      replies.write(queues ? bytes.copy() : bytes.retainedSlice());
    }

    /** Ends the stream as complete. */
    boolean endStream() {
      if (!isCurrent()) {
        return false;
      }
      start();
      replies.endStream();
      return true;
    }

    /** Closes the connection, so that the caller can tell that the stream is incomplete. */
    boolean abort() {
      if (!isCurrent()) {
        return false;
      }
      replies.abort();
      return true;
    }

    /** Sends a complete response. */
    boolean reply(HttpReply reply) {
      if (!isCurrent()) {
        return false;
      }
      status = reply.status();
      replies.reply(reply);
      return true;
    }
  }

  /** Returns the number of an event, or {@link ServerSentEventDecoder#NO_ID} if it has none. */
  private static long numberOf(@Nullable String eventId) {
    try {
      return eventId == null ? ServerSentEventDecoder.NO_ID : Long.parseLong(eventId);
    } catch (NumberFormatException notNumeric) {
      return ServerSentEventDecoder.NO_ID;
    }
  }
}
