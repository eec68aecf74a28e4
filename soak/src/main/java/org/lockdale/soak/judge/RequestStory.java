package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** All that was seen of one request. */
final class RequestStory {

  private final String id;
  private final List<Note.Arrived> arrivals = new ArrayList<>();
  private final List<Note.Begun> runs = new ArrayList<>();
  private Note.@Nullable Sent sent;
  private Note.@Nullable Answered answer;
  private Note.@Nullable Left left;

  RequestStory(String id) {
    this.id = id;
  }

  String id() {
    return id;
  }

  Note.@Nullable Sent sent() {
    return sent;
  }

  void setSent(Note.Sent note) {
    sent = note;
  }

  Note.@Nullable Answered answer() {
    return answer;
  }

  void setAnswer(Note.Answered note) {
    answer = note;
  }

  Note.@Nullable Left left() {
    return left;
  }

  void setLeft(Note.Left note) {
    left = note;
  }

  List<Note.Arrived> arrivals() {
    return arrivals;
  }

  List<Note.Begun> runs() {
    return runs;
  }
}
