package org.lockdale.soak.standin;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.lockdale.platform.RawBackend;

/** Writes the replies of one connection. A late second reply never falls within another reply. */
final class ReplyChannel {

  private static final int THREADS = 2;
  private static final ScheduledExecutorService TIMER =
      Executors.newScheduledThreadPool(
          THREADS,
          task -> {
            Thread thread = new Thread(task, "second-replies");
            thread.setDaemon(true);
            return thread;
          });

  private final Socket connection;

  /** Second replies that are written as soon as no other reply is being written. */
  private final List<LateReply> due = new ArrayList<>();

  /** Second replies that are written in front of the next reply. */
  private final List<LateReply> beforeNext = new ArrayList<>();

  private boolean streaming;
  private boolean repeated;

  ReplyChannel(Socket connection) {
    this.connection = connection;
  }

  /** Writes a reply that is followed by a second one, unless that is null. */
  synchronized void write(String reply, @Nullable LateReply second) throws IOException {
    RawBackend.write(connection, take(beforeNext) + reply + behindFirst(second));
    schedule(second);
  }

  /** Writes the start of a stream, which lasts until {@link #endStream}. */
  synchronized void beginStream(String start) throws IOException {
    streaming = true;
    RawBackend.write(connection, take(beforeNext) + start);
  }

  /** Writes the end of a stream that is followed by a second reply, unless that is null. */
  synchronized void endStream(String end, @Nullable LateReply second) throws IOException {
    streaming = false;
    RawBackend.write(connection, end + take(due) + behindFirst(second));
    schedule(second);
  }

  /** Returns whether a reply on this connection has or will have a second one. */
  synchronized boolean hasRepeatedReply() {
    return repeated;
  }

  private static String behindFirst(@Nullable LateReply second) {
    if (second == null || second.moment().place() != LateReply.Place.BEHIND_FIRST) {
      return "";
    }
    second.record();
    return second.text();
  }

  private void schedule(@Nullable LateReply second) {
    if (second == null) {
      return;
    }
    repeated = true;
    switch (second.moment().place()) {
      case LATER ->
          TIMER.schedule(
              () -> writeLate(second), second.moment().delayMillis(), TimeUnit.MILLISECONDS);
      case BEFORE_NEXT -> beforeNext.add(second);
      case BEHIND_FIRST -> {
        // It was written together with the first reply.
      }
    }
  }

  private synchronized void writeLate(LateReply second) {
    due.add(second);
    if (streaming || connection.isClosed()) {
      return;
    }
    try {
      RawBackend.write(connection, take(due));
    } catch (IOException closed) {
      due.clear();
    }
  }

  private static String take(List<LateReply> replies) {
    StringBuilder text = new StringBuilder();
    for (LateReply reply : replies) {
      reply.record();
      text.append(reply.text());
    }
    replies.clear();
    return text.toString();
  }
}
