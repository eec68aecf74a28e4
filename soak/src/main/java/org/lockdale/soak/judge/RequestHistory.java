package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** The recorded events of one request. */
final class RequestHistory {

  private final String id;
  private final List<Note.Arrived> arrivals = new ArrayList<>();
  private final List<Note.Begun> runs = new ArrayList<>();
  private final Set<String> forwardingNodes = new HashSet<>();
  private Note.@Nullable Sent sent;
  private Note.@Nullable TakenUp takenUp;
  private Note.@Nullable Answered response;
  private Note.@Nullable Left left;

  RequestHistory(String id) {
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

  void setTakenUp(Note.TakenUp note) {
    takenUp = note;
  }

  /** Returns the id of the request that brought the first event of the stream, else this one's. */
  String stream() {
    return takenUp == null ? id : takenUp.original();
  }

  Note.@Nullable Answered response() {
    return response;
  }

  void setResponse(Note.Answered note) {
    response = note;
  }

  Note.@Nullable Left left() {
    return left;
  }

  void setLeft(Note.Left note) {
    left = note;
  }

  /** Returns the nodes that have forwarded the request to another node. */
  Set<String> forwardingNodes() {
    return forwardingNodes;
  }

  void addForwardingNode(String node) {
    forwardingNodes.add(node);
  }

  List<Note.Arrived> arrivals() {
    return arrivals;
  }

  List<Note.Begun> runs() {
    return runs;
  }
}
