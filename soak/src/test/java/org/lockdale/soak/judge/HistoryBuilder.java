package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Builds histories for tests of the rules: a valid base and events that make it invalid. */
final class HistoryBuilder {

  static final String KEY = "key-1";
  static final String OTHER_KEY = "key-2";
  static final long SETTLED_MILLIS = 1_000_000;

  private final List<Note> notes = new ArrayList<>();
  private Bounds bounds = Bounds.standard();

  HistoryBuilder() {
    configuration(1, 0, routes("pool"), Map.of(KEY, "tenant-1", OTHER_KEY, "tenant-2"));
    notes.add(new Note.Started(-100_000, "node-1"));
    notes.add(new Note.Started(-100_000, "node-2"));
  }

  static Map<String, RouteFacts> routes(String service) {
    return Map.of(
        "/route/", new RouteFacts(service, 4_000, 2), "/always/", new RouteFacts("pool", 4_000, 2));
  }

  HistoryBuilder withBounds(Bounds newBounds) {
    bounds = newBounds;
    return this;
  }

  HistoryBuilder configuration(
      long version, long at, Map<String, RouteFacts> routes, Map<String, String> tenants) {
    notes.add(
        new Note.ConfigurationSent(
            at - 10, new ConfigurationFacts(version, routes, tenants, Set.of("tenant-2"))));
    notes.add(new Note.ConfigurationAcknowledged(at, version));
    return this;
  }

  HistoryBuilder add(Note note) {
    notes.add(note);
    return this;
  }

  static RequestFacts facts() {
    return new RequestFacts("POST", "/route/x", "body", null, null, null);
  }

  static Note.Sent sentTo(String node, long at, String id, RequestKind kind) {
    return new Note.Sent(at, id, node, kind, facts(), KEY, 8_000, 0);
  }

  static Note.Sent sent(long at, String id, RequestKind kind) {
    return sentTo("node-1", at, id, kind);
  }

  static Note.Begun begun(long at, String id, String run) {
    return begunWith(at, id, run, facts(), "pool", "tenant-1", 0);
  }

  static Note.Begun begunWith(
      long at,
      String id,
      String run,
      RequestFacts facts,
      String service,
      @Nullable String tenant,
      long weights) {
    return new Note.Begun(
        at, "server-1", service, id, run, facts, tenant, weights, 7_000, 3_000, 0);
  }

  static Note.Begun continued(long at, String id, String run, int after) {
    return new Note.Begun(
        at, "server-3", "pool", id, run, facts(), "tenant-1", 0, 7_000, 3_000, after);
  }

  static Note.Answered answered(long at, String id, int status, @Nullable String run, String body) {
    return new Note.Answered(at, id, status, run, body, true);
  }

  /** Adds a request that was served correctly. */
  HistoryBuilder served(long at, String id, RequestKind kind) {
    String run = "run-" + id;
    String body =
        kind.isStreaming()
            ? new StreamPiece(1, run, false).text() + new StreamPiece(2, run, true).text()
            : "answer";
    notes.add(sent(at, id, kind));
    notes.add(new Note.Arrived(at + 5, "server-1", "pool", id));
    notes.add(begun(at + 5, id, run));
    notes.add(new Note.Ended(at + 50, run, 200, body, true));
    notes.add(answered(at + 55, id, 200, run, body));
    return this;
  }

  List<String> violatedRules() {
    History history = new History(bounds);
    notes.forEach(history::add);
    history.add(new Note.DisruptionEnded(SETTLED_MILLIS, 0));
    return RuleChecker.check(history).stream().map(RuleBreak::rule).distinct().toList();
  }
}
