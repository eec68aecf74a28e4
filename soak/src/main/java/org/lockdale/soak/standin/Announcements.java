package org.lockdale.soak.standin;

import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;
import org.lockdale.platform.RawBackend.Received;
import org.lockdale.soak.judge.Note;

/**
 * What a server announces in its responses, as the driver commands: a rate limit, that it is
 * draining, and a backoff. Records what it announces. Safe for use by several threads.
 */
final class Announcements {

  private final String instance;

  /** Advertised requests per second, or null for none. */
  private volatile @Nullable Double advertisedRate;

  private volatile boolean draining;
  private volatile RequestedBackoff requestedBackoff = RequestedBackoff.NONE;

  /**
   * Creates an instance for a server that announces nothing yet.
   *
   * @param instance name of the server's incarnation in notes
   */
  Announcements(String instance) {
    this.instance = instance;
  }

  /** Carries out a command of the driver; returns false if it is not one on announcements. */
  boolean handleCommand(String line) {
    if (line.startsWith(ServerBase.RATE_COMMAND)) {
      setRate(line.substring(ServerBase.RATE_COMMAND.length()));
    } else if (line.equals(ServerBase.LEAVING_COMMAND)) {
      draining = true;
    } else if (line.startsWith(ServerBase.REST_COMMAND)) {
      requestedBackoff = RequestedBackoff.parse(line.substring(ServerBase.REST_COMMAND.length()));
    } else {
      return false;
    }
    return true;
  }

  private void setRate(String rate) {
    advertisedRate = rate.isEmpty() ? null : Double.valueOf(rate);
    StandardStreams.writeNote(
        new Note.RateNamed(StandardStreams.nowMillis(), instance, advertisedRate));
  }

  /** Returns the lines to append to the headers of a run's response; empty for none. */
  String headers(Received request) {
    return drainingHeader(request) + rateHeader(request);
  }

  /** Returns the line to append to a response's headers; empty unless the server is draining. */
  String drainingHeader(Received request) {
    if (!draining) {
      return "";
    }
    StandardStreams.writeNote(
        new Note.LeavingTold(StandardStreams.nowMillis(), instance, ServerBase.noteId(request)));
    return "\r\n" + HeaderNames.SERVER_LEAVING + ": 1";
  }

  private String rateHeader(Received request) {
    Double rate = advertisedRate;
    if (rate == null) {
      return "";
    }
    StandardStreams.writeNote(
        new Note.RateTold(StandardStreams.nowMillis(), instance, ServerBase.noteId(request)));
    return "\r\n" + HeaderNames.SERVER_LIMIT + ": " + rate;
  }

  /** Returns the backoff with which the next request is to be rejected, or null if it is not. */
  @Nullable RequestedBackoff drawBackoff() {
    RequestedBackoff backoff = requestedBackoff;
    return ThreadLocalRandom.current().nextDouble() < backoff.share() ? backoff : null;
  }
}
