package org.lockdale.gateway.request;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.placement.SplitSelector;
import org.lockdale.gateway.resume.StreamId;
import org.lockdale.gateway.resume.StreamOrigin;
import org.lockdale.gateway.resume.StreamOrigins;
import org.tinylog.Logger;

/**
 * Chooses the pool of a request. A stream that a caller takes up again goes on in the pool and at
 * the software version that began it, and is refused where these can't be known.
 */
final class ResumeStep {

  private final StreamOrigins origins;
  private final SplitSelector splits = new SplitSelector();

  ResumeStep(StreamOrigins origins) {
    this.origins = origins;
  }

  /**
   * Chooses the pool, on the event loop of the caller's connection.
   *
   * @param state the request, after the filters
   * @param onChosen run once the pool is chosen
   * @param onRefused receives the reason if the stream can't go on
   */
  void apply(RequestState state, Runnable onChosen, Consumer<String> onRefused) {
    if (!state.route().resumable() || state.request.lastEventId() == null) {
      state.pool = splits.next(state.route());
      onChosen.run();
      return;
    }
    String resumed = state.request.resumedId();
    Optional<String> onlyPool =
        hasOnePool(state) ? Optional.of(splits.next(state.route())) : Optional.empty();
    CompletableFuture<Optional<StreamOrigin>> found =
        resumed == null
            ? origins.findSole(onlyPool)
            : origins.find(StreamId.of(state.caller(), resumed), onlyPool);
    found.thenAcceptAsync(
        origin -> goOn(state, origin, onChosen, onRefused), state.exchange.eventLoop());
  }

  private void goOn(
      RequestState state,
      Optional<StreamOrigin> origin,
      Runnable onChosen,
      Consumer<String> onRefused) {
    state.pool = origin.map(StreamOrigin::pool).orElseGet(() -> splits.next(state.route()));
    if (origin.isEmpty()) {
      log(state, "unknown");
      onRefused.accept(
          "it is not known which software version began the stream; start it over without a"
              + " resume point");
    } else if (!mayRunIn(state, origin.get().pool())) {
      log(state, "pool-removed");
      onRefused.accept("the pool that began the stream no longer serves its route; start it over");
    } else {
      state.origin = origin.get();
      onChosen.run();
    }
  }

  private static boolean hasOnePool(RequestState state) {
    return state.route().pools().size() == 1;
  }

  private static boolean mayRunIn(RequestState state, String pool) {
    return state.route().pools().stream()
        .anyMatch(weighted -> weighted.weight() > 0 && weighted.pool().equals(pool));
  }

  private static void log(RequestState state, String cause) {
    Logger.info(
        "event=stream-not-resumed request={} resumes={} pool={} cause={}",
        state.request.id(),
        state.request.resumedId(),
        state.pool,
        cause);
  }

  /**
   * Records where a stream begins; to be called before its first event is sent to the caller.
   *
   * @param server backend that sent the event
   * @param isKnown whether it is known that this incarnation of the server sent it
   */
  void recordStart(RequestState state, TrackedBackend server, boolean isKnown) {
    if (state.origin != null) {
      return;
    }
    if (!isKnown) {
      log(state, "server-unproven");
      state.origin = StreamOrigin.ofUnknownVersion(state.pool);
      return;
    }
    StreamOrigin origin = new StreamOrigin(state.pool, server.backend().softwareVersion());
    state.origin = origin;
    if (state.route().resumable()) {
      StreamId id = StreamId.of(state.caller(), state.request.id());
      origins.recordStart(id, origin, hasOnePool(state));
    }
  }
}
