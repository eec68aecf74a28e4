package org.lockdale.soak.judge;

import java.util.HashSet;
import java.util.Set;

/**
 * Counts of requests that nodes without a connection to any server forwarded to other nodes.
 *
 * @param requests requests that were forwarded at least once
 * @param streams those of them that are streams
 */
public record ForwardingCounts(int requests, int streams) {

  /** Returns the counts of a history. */
  public static ForwardingCounts of(History history) {
    Set<String> requests = new HashSet<>();
    history.forwardings().forEach(forwarded -> requests.add(forwarded.request()));
    long streams =
        requests.stream()
            .map(id -> history.request(id).sent())
            .filter(sent -> sent != null && sent.kind().isStreaming())
            .count();
    return new ForwardingCounts(requests.size(), (int) streams);
  }

  @Override
  public String toString() {
    return "forwarded=" + requests + " forwarded-streams=" + streams;
  }
}
