package org.lockdale.soak.judge;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** Compares the bodies that callers received with those that servers wrote, byte by byte. */
final class ResponseBodies {

  private static final String EVENT_END = "\n\n";

  private ResponseBodies() {}

  /** Returns what is wrong with the body of a response that is no stream, or null if nothing is. */
  static @Nullable String findFault(Note.Answered response, Note.Ended end) {
    if (response.whole()) {
      return end.body().equals(response.body()) ? null : "the body differs from the server's";
    }
    return end.body().startsWith(response.body()) ? null : "an incomplete body of another response";
  }

  /** Returns what is wrong with the events of a successful stream, or null if nothing is. */
  static @Nullable String findStreamFault(
      History history, RequestHistory request, Note.Answered response) {
    List<StreamPiece> pieces = StreamPiece.parse(response.body());
    for (StreamPiece piece : pieces) {
      String reason = findFault(history, request, response, piece);
      if (reason != null) {
        return reason;
      }
    }
    boolean oneRun = pieces.stream().allMatch(piece -> piece.run().equals(response.signature()));
    Note.Ended end = history.end(response.signature());
    return oneRun && end != null ? findTextFault(response, end) : null;
  }

  private static @Nullable String findFault(
      History history, RequestHistory request, Note.Answered response, StreamPiece piece) {
    Note.Begun run = history.run(piece.run());
    if (run == null) {
      return history.isFullyRecorded(response.atMillis())
          ? "event " + piece.id() + " of no run: " + piece.run()
          : null;
    }
    if (!run.request().equals(request.id())) {
      return "event " + piece.id() + " belongs to request " + run.request();
    }
    Note.Ended end = history.end(piece.run());
    return end == null || end.body().contains(piece.text())
        ? null
        : "the server did not write event " + piece.id() + " of run " + piece.run();
  }

  /** Compares the text of all complete events of one run. */
  private static @Nullable String findTextFault(Note.Answered response, Note.Ended end) {
    if (response.whole()) {
      return end.body().equals(response.body()) ? null : "the body differs from the server's";
    }
    int last = response.body().lastIndexOf(EVENT_END);
    String complete = last < 0 ? "" : response.body().substring(0, last + EVENT_END.length());
    return end.body().startsWith(complete) ? null : "the events differ from the server's";
  }
}
