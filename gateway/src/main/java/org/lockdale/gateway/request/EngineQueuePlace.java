package org.lockdale.gateway.request;

import org.jspecify.annotations.Nullable;

/**
 * The place of one request in the estimated queue of its pool. Requests that wait for room have
 * none: they are sent to engines that can start them, and keep their priority. Confined to the
 * event loop of the caller's connection.
 */
final class EngineQueuePlace implements QueuePlace {

  private final RequestPath path;
  private final RequestState state;
  private QueueForecast.@Nullable Place current;

  EngineQueuePlace(RequestPath path, RequestState state) {
    this.path = path;
    this.state = state;
  }

  @Override
  public boolean cannotMeetDeadline() {
    boolean isFirst = state.possibleRuns == 0 && !state.response.hasStarted();
    return isFirst
        && !path.terms().waitsForRoom(state)
        && path.pools().waits().cannotMeetDeadline(state);
  }

  @Override
  public Runnable join() {
    if (path.terms().waitsForRoom(state)) {
      state.deferred = false;
      current = null;
      return path::workChanged;
    }
    PoolWaits waits = path.pools().waits();
    state.deferred = waits.wouldBeLate(state);
    state.deferredPriority = waits.deferredPriority(state.configuredPriority());
    QueueForecast.Place place = waits.enqueue(state);
    current = place;
    long sentAtMillis = path.nowMillis();
    return () -> {
      place.recordStart();
      waits.recordFirstEvent(state, sentAtMillis);
      path.workChanged();
    };
  }

  @Override
  public void leave(boolean served) {
    QueueForecast.Place place = current;
    if (place != null && served) {
      place.recordStart();
    } else if (place != null) {
      place.leave();
    }
  }
}
