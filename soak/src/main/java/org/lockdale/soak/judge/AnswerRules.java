package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.List;

/** Whether callers got their own answers, whole and unchanged. */
final class AnswerRules {

  private static final int OK = 200;
  private static final int REDIRECT = 300;

  private AnswerRules() {}

  static List<RuleBreak> mixed(History history) {
    List<RuleBreak> breaks = new ArrayList<>();
    for (Note.Surplus bytes : history.surplus()) {
      breaks.add(new RuleBreak("MIXED", bytes.node(), "unasked bytes: " + bytes.text()));
    }
    for (RequestStory request : history.requests()) {
      Note.Answered answer = request.answer();
      if (answer != null) {
        String fault = faultOf(history, request, answer);
        if (fault != null) {
          breaks.add(new RuleBreak("MIXED", request.id(), fault));
        }
      }
    }
    return breaks;
  }

  private static String faultOf(History history, RequestStory request, Note.Answered answer) {
    boolean success = answer.status() >= OK && answer.status() < REDIRECT;
    if (answer.signature() == null) {
      return success ? "a success without a server's signature" : null;
    }
    Note.Begun run = history.run(answer.signature());
    if (run == null) {
      return history.isSettled(answer.atMillis()) ? "signature of no run" : null;
    }
    if (!run.request().equals(request.id())) {
      return "the answer belongs to " + run.request();
    }
    Note.Ended end = history.end(run.run());
    if (end == null) {
      return null;
    }
    if (end.status() != answer.status()) {
      return "status " + answer.status() + " for the server's " + end.status();
    }
    boolean streaming = request.sent() != null && request.sent().kind().isStreaming();
    if (success && !streaming && answer.whole() && !end.body().equals(answer.body())) {
      return "the body is not the server's";
    }
    return null;
  }

  static List<RuleBreak> order(History history) {
    List<RuleBreak> breaks = new ArrayList<>();
    for (RequestStory request : history.requests()) {
      Note.Sent sent = request.sent();
      Note.Answered answer = request.answer();
      boolean relevant = sent != null && answer != null && sent.kind().isStreaming();
      if (relevant && answer.status() == OK) {
        String fault = faultOfStream(history, sent, answer);
        if (fault != null) {
          breaks.add(new RuleBreak("ORDER", request.id(), fault));
        }
      }
    }
    return breaks;
  }

  private static String faultOfStream(History history, Note.Sent sent, Note.Answered answer) {
    int previous = sent.lastEventId();
    String run = null;
    boolean ended = false;
    for (StreamPiece piece : StreamPiece.parse(answer.body())) {
      if (ended || piece.id() != previous + 1) {
        return "piece " + piece.id() + " after " + previous + (ended ? ", the last one" : "");
      }
      boolean joined = run != null && !run.equals(piece.run());
      if (joined && !mayContinue(history, sent, piece)) {
        return "piece " + piece.id() + " of run " + piece.run() + " after run " + run;
      }
      previous = piece.id();
      run = piece.run();
      ended = piece.last();
    }
    return answer.whole() && !ended ? "complete after piece " + previous : null;
  }

  private static boolean mayContinue(History history, Note.Sent sent, StreamPiece first) {
    Note.Begun next = history.run(first.run());
    return sent.kind() == RequestKind.RESUMABLE
        && (next == null || next.lastEventId() == first.id() - 1);
  }
}
