package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Compares streams that callers took up with new streams. A stream counts if two servers of its
 * software version served and the node asked, which had begun a stream since it started, was in
 * touch with the store.
 *
 * @param all all streams taken up
 * @param afterRestart those of them whose nodes had all been started again since the stream began
 */
public record TakenUpStreams(Share all, Share afterRestart) {

  /** Time before and after a stream is taken up in which new streams are compared with it. */
  private static final long NEARBY_MILLIS = 1_000;

  private static final int SERVERS_OF_VERSION = 2;
  private static final int OK = 200;

  /** Statuses that don't depend on where a stream began. */
  private static final Set<Integer> DENIALS = Set.of(401, 404);

  /**
   * Outcome of streams that were taken up.
   *
   * @param counted number of these streams
   * @param expected number that would have gone on, had each done so as often as new streams began
   * @param wentOn number that went on
   */
  public record Share(int counted, double expected, int wentOn) {

    private static final Share NONE = new Share(0, 0, 0);

    private Share with(double expectedShare, boolean goesOn) {
      return new Share(counted + 1, expected + expectedShare, wentOn + (goesOn ? 1 : 0));
    }

    @Override
    public String toString() {
      return wentOn + "/" + Math.round(expected) + "/" + counted;
    }
  }

  /** A stream that a node in touch was asked for, and whether it was answered with events. */
  private record Asked(RequestHistory request, Note.Sent sent, long endMillis, boolean began) {}

  /** Returns the shares of a history. */
  public static TakenUpStreams of(History history) {
    return new Collection(history).collect();
  }

  @Override
  public String toString() {
    return "resumed/expected/counted=" + all + " after-restart=" + afterRestart;
  }

  private static final class Collection {

    private final History history;
    private final ServingServers servers;
    private final Map<String, RequestHistory> requests = new HashMap<>();
    private final Map<String, List<Asked>> newStreams = new HashMap<>();
    private final List<Asked> takenUp = new ArrayList<>();

    Collection(History history) {
      this.history = history;
      this.servers = new ServingServers(history);
      for (RequestHistory request : history.requests()) {
        requests.put(request.id(), request);
        ask(request).ifPresent(this::add);
      }
    }

    private void add(Asked asked) {
      if (!asked.request().stream().equals(asked.request().id())) {
        takenUp.add(asked);
      } else if (asked.sent().lastEventId() == 0) {
        newStreams.computeIfAbsent(asked.sent().node(), node -> new ArrayList<>()).add(asked);
      }
    }

    /** Returns the facts of a request for a resumable stream if its outcome counts. */
    private Optional<Asked> ask(RequestHistory request) {
      Note.Sent sent = request.sent();
      if (sent == null || sent.kind() != RequestKind.RESUMABLE || !hasCountedOutcome(request)) {
        return Optional.empty();
      }
      Note.Answered response = request.response();
      long deadline = sent.atMillis() + sent.deadlineMillis();
      long end = response == null ? deadline : response.atMillis();
      return isInTouch(sent.node(), sent.atMillis(), end)
          ? Optional.of(new Asked(request, sent, end, response != null && response.status() == OK))
          : Optional.empty();
    }

    /** A request that its caller left early has no outcome, nor has one that is under way. */
    private boolean hasCountedOutcome(RequestHistory request) {
      Note.Answered response = request.response();
      if (response != null) {
        return !DENIALS.contains(response.status());
      }
      long deadline = request.sent().atMillis() + request.sent().deadlineMillis();
      Note.Left left = request.left();
      return left == null ? history.isFullyRecorded(deadline) : left.atMillis() >= deadline;
    }

    private boolean isInTouch(String node, long from, long until) {
      return history.isUndisrupted(node, from, until)
          && history.isUndisrupted(History.STORE, from, until)
          && history.isUndisrupted(History.previousBuild(node), from, until)
          && history.ranThroughout(node, from, until);
    }

    TakenUpStreams collect() {
      Share all = Share.NONE;
      Share afterRestart = Share.NONE;
      for (Asked asked : takenUp) {
        Note.Begun first = firstRun(asked.request());
        if (first == null || !isCounted(asked, first)) {
          continue;
        }
        Optional<Double> expected = shareOfNewStreams(asked);
        if (expected.isPresent()) {
          all = all.with(expected.get(), asked.began());
          if (history.allStartedWithin(first.atMillis(), asked.sent().atMillis())) {
            afterRestart = afterRestart.with(expected.get(), asked.began());
          }
        }
      }
      return new TakenUpStreams(all, afterRestart);
    }

    /** Returns the run that wrote the first event of the stream that a request takes up. */
    private Note.@Nullable Begun firstRun(RequestHistory request) {
      RequestHistory original = requests.get(request.stream());
      if (original == null || original.response() == null) {
        return null;
      }
      List<StreamPiece> pieces = StreamPiece.parse(original.response().body());
      return pieces.isEmpty() ? null : history.run(pieces.get(0).run());
    }

    private boolean isCounted(Asked asked, Note.Begun first) {
      return hasBegunStreams(asked)
          && servers.countLike(first, asked.sent().atMillis(), asked.endMillis())
              >= SERVERS_OF_VERSION;
    }

    /** Returns whether the node asked had begun a stream since it started. */
    private boolean hasBegunStreams(Asked asked) {
      long start = history.processStartMillis(asked.sent().node(), asked.sent().atMillis());
      return newStreams.getOrDefault(asked.sent().node(), List.of()).stream()
          .filter(Asked::began)
          .mapToLong(stream -> stream.sent().atMillis())
          .anyMatch(at -> at >= start && at <= asked.sent().atMillis());
    }

    /** Returns the share of new streams that began at the same node at about the same time. */
    private Optional<Double> shareOfNewStreams(Asked asked) {
      long at = asked.sent().atMillis();
      List<Asked> nearby =
          newStreams.getOrDefault(asked.sent().node(), List.of()).stream()
              .filter(stream -> Math.abs(stream.sent().atMillis() - at) <= NEARBY_MILLIS)
              .toList();
      long began = nearby.stream().filter(Asked::began).count();
      return nearby.isEmpty() ? Optional.empty() : Optional.of((double) began / nearby.size());
    }
  }
}
