package org.lockdale.gateway.cluster;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.function.IntSupplier;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.admission.AdmissionMetrics;
import org.lockdale.gateway.capacity.EngineCapacities;
import org.lockdale.gateway.configuration.Pool;
import org.lockdale.gateway.placement.PlacementDecider;

/**
 * The admission queue of a node. At a relay it holds the requests of all nodes, elsewhere those of
 * the node itself while no relay answers. Confined to the event loop, except for the metrics.
 */
public final class AdmissionServices {

  private final AdmissionController controller;
  private final AdmissionTimer timer;
  private final AdmissionMetrics metrics = new AdmissionMetrics();
  private final List<Runnable> reviewListeners = new ArrayList<>();

  /**
   * Creates the services.
   *
   * @param eventLoop runs the passes over the queue
   * @param decider decides which engine serves a request
   * @param loads work of other nodes at the engines
   * @param capacities estimated capacities of the engines
   * @param deciders supplies the number of nodes among which the engines are divided: 1 at a relay
   * @param pools supplies a pool by its name, or null if it is unknown
   * @param time clock
   */
  public AdmissionServices(
      EventLoop eventLoop,
      PlacementDecider decider,
      PeerLoads loads,
      EngineCapacities capacities,
      IntSupplier deciders,
      Function<String, @Nullable Pool> pools,
      Time time) {
    EngineRooms rooms = new EngineRooms(loads, capacities, deciders, time);
    controller = new AdmissionController(decider, rooms, pools, metrics, time);
    timer =
        new AdmissionTimer(
            eventLoop, controller, () -> reviewListeners.forEach(Runnable::run), time);
  }

  AdmissionController controller() {
    return controller;
  }

  AdmissionTimer timer() {
    return timer;
  }

  void addReviewListener(Runnable listener) {
    reviewListeners.add(listener);
  }

  /** Looks at the queue soon, since a node has reported its load. */
  public void onReport() {
    timer.onReport();
  }

  /** Drops the state of engines that are not among those given; to be called periodically. */
  public void retain(Set<String> engines) {
    controller.retain(engines);
  }

  /** Returns the metrics, which may be read by any thread. */
  public AdmissionMetrics metrics() {
    return metrics;
  }
}
