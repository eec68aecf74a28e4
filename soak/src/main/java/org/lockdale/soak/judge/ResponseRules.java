package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Rules on what callers receive: their own responses, complete and unchanged. */
final class ResponseRules {

  private static final int OK = 200;
  private static final int MULTIPLE_CHOICES = 300;

  private ResponseRules() {}

  /** Checks rule MIXED: every caller receives the unchanged response of a run of its request. */
  static List<RuleBreak> mixedResponses(History history) {
    List<RuleBreak> violations = new ArrayList<>();
    Map<String, Integer> lastEvents = lastEvents(history);
    for (Note.Surplus bytes : history.surplusBytes()) {
      violations.add(new RuleBreak("MIXED", bytes.node(), "surplus bytes: " + bytes.text()));
    }
    for (RequestHistory request : history.requests()) {
      Note.Answered response = request.response();
      if (response != null) {
        // What is wrong with the order of a stream's events is rule ORDER alone.
        boolean inOrder = findStreamFault(history, request, lastEvents) == null;
        String reason = findFault(history, request, response, inOrder);
        if (reason != null) {
          violations.add(new RuleBreak("MIXED", request.id(), reason));
        }
      }
    }
    return violations;
  }

  /**
   * Returns what is wrong with a response, or null if nothing is.
   *
   * @param compares whether its content is compared with what the server wrote
   */
  private static @Nullable String findFault(
      History history, RequestHistory request, Note.Answered response, boolean compares) {
    boolean success = response.status() >= OK && response.status() < MULTIPLE_CHOICES;
    if (response.signature() == null) {
      return success ? "successful response without a server's signature" : null;
    }
    Note.Begun run = history.run(response.signature());
    if (run == null) {
      return history.isFullyRecorded(response.atMillis()) ? "signature of no run" : null;
    }
    if (!run.request().equals(request.id())) {
      return "the response belongs to request " + run.request();
    }
    Note.Ended end = history.end(run.run());
    if (end == null) {
      return compares && isUnended(history, request, response)
          ? "complete, but its run has not ended"
          : null;
    }
    if (end.status() != response.status()) {
      return "status " + response.status() + ", the server sent " + end.status();
    }
    if (!compares) {
      return null;
    }
    Note.Sent sent = request.sent();
    boolean stream = success && sent != null && sent.kind().isStreaming();
    return stream
        ? ResponseBodies.findStreamFault(history, request, response)
        : ResponseBodies.findFault(response, end);
  }

  /**
   * Returns whether a response is complete although its server has not recorded the end of its run,
   * which it does before it writes the response. A stream may be complete without it: by another
   * run, or by a crash after the last event of a response that its connection ends.
   */
  private static boolean isUnended(
      History history, RequestHistory request, Note.Answered response) {
    Note.Sent sent = request.sent();
    return response.whole()
        && history.isFullyRecorded(response.atMillis())
        && sent != null
        && !sent.kind().isStreaming();
  }

  /** Checks rule ORDER: the events of a stream arrive in order, once each, up to the last one. */
  static List<RuleBreak> streamOrder(History history) {
    List<RuleBreak> violations = new ArrayList<>();
    Map<String, Integer> lastEvents = lastEvents(history);
    for (RequestHistory request : history.requests()) {
      String reason = findStreamFault(history, request, lastEvents);
      if (reason != null) {
        violations.add(new RuleBreak("ORDER", request.id(), reason));
      }
    }
    return violations;
  }

  /** Returns what is wrong with the events of a request's stream, or null if nothing is. */
  private static @Nullable String findStreamFault(
      History history, RequestHistory request, Map<String, Integer> lastEvents) {
    Note.Sent sent = request.sent();
    Note.Answered response = request.response();
    if (sent == null || response == null || !sent.kind().isStreaming() || response.status() != OK) {
      return null;
    }
    boolean nothingLeft =
        Integer.valueOf(sent.lastEventId()).equals(lastEvents.get(request.stream()));
    return findStreamFault(history, sent, response, nothingLeft);
  }

  /**
   * Returns the ids of the last events that callers received, by stream. A caller takes up a stream
   * after its last event if the end of the response is missing.
   */
  private static Map<String, Integer> lastEvents(History history) {
    Map<String, Integer> lastEvents = new HashMap<>();
    for (RequestHistory request : history.requests()) {
      Note.Answered response = request.response();
      if (response != null) {
        for (StreamPiece piece : StreamPiece.parse(response.body())) {
          if (piece.last()) {
            lastEvents.put(request.stream(), piece.id());
          }
        }
      }
    }
    return lastEvents;
  }

  /**
   * Returns what is wrong with the events of a stream, or null if nothing is.
   *
   * @param nothingLeft whether the caller had received the last event before
   */
  private static @Nullable String findStreamFault(
      History history, Note.Sent sent, Note.Answered response, boolean nothingLeft) {
    int previous = sent.lastEventId();
    String run = null;
    boolean ended = nothingLeft;
    for (StreamPiece piece : StreamPiece.parse(response.body())) {
      if (ended || piece.id() != previous + 1) {
        return "event " + piece.id() + " after " + previous + (ended ? ", the last one" : "");
      }
      boolean joined = run != null && !run.equals(piece.run());
      if (joined && !mayContinue(history, sent, piece)) {
        return "event " + piece.id() + " of run " + piece.run() + " after run " + run;
      }
      previous = piece.id();
      run = piece.run();
      ended = piece.last();
    }
    return response.whole() && !ended
        ? "complete without its last event, after event " + previous
        : null;
  }

  /** Returns whether another run may continue a stream from a given event. */
  private static boolean mayContinue(History history, Note.Sent sent, StreamPiece first) {
    Note.Begun next = history.run(first.run());
    return sent.kind() == RequestKind.RESUMABLE
        && (next == null || next.lastEventId() == first.id() - 1);
  }
}
