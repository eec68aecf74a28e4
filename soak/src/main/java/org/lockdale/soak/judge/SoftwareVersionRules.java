package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Rules on servers of several software versions. */
final class SoftwareVersionRules {

  private static final int OK = 200;

  private SoftwareVersionRules() {}

  /**
   * Checks rule ORDER: all events of a stream, in one response or over several that its caller
   * asked for, are written by servers of one software version. Nodes of the former build don't know
   * of versions.
   */
  static List<RuleBreak> mixedStreams(History history) {
    Map<String, Set<String>> versionsByStream = new TreeMap<>();
    for (RequestHistory request : history.requests()) {
      Note.Sent sent = request.sent();
      Note.Answered response = request.response();
      boolean relevant = sent != null && response != null && sent.kind().isStreaming();
      if (relevant && response.status() == OK && ranPresentBuild(history, sent, response)) {
        versionsByStream
            .computeIfAbsent(request.stream(), none -> new TreeSet<>())
            .addAll(versionsOf(history, response));
      }
    }
    List<RuleBreak> violations = new ArrayList<>();
    versionsByStream.forEach(
        (stream, versions) -> {
          if (versions.size() > 1) {
            violations.add(
                new RuleBreak("ORDER", stream, "events of software versions " + versions));
          }
        });
    return violations;
  }

  private static boolean ranPresentBuild(History history, Note.Sent sent, Note.Answered response) {
    String formerBuild = History.previousBuild(sent.node());
    return history.isUndisrupted(formerBuild, sent.atMillis(), response.atMillis());
  }

  private static Set<String> versionsOf(History history, Note.Answered response) {
    Set<String> versions = new TreeSet<>();
    for (StreamPiece piece : StreamPiece.parse(response.body())) {
      Note.Begun run = history.run(piece.run());
      if (run != null) {
        versions.add(SoftwareVersions.of(run.server()));
      }
    }
    return versions;
  }
}
