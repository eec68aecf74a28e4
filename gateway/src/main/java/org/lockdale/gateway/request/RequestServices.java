package org.lockdale.gateway.request;

import org.lockdale.gateway.backend.ResponseHead;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.capacity.EngineServices;
import org.lockdale.gateway.drain.BackendAnnouncements;
import org.lockdale.gateway.flow.HeldBytes;
import org.lockdale.gateway.life.IncarnationMonitor;
import org.lockdale.gateway.limit.TenantLimiter;
import org.lockdale.gateway.placement.PlacementDecider;
import org.lockdale.gateway.placement.PlacementService;
import org.lockdale.gateway.quarantine.Quarantine;
import org.lockdale.gateway.rate.BackendRates;
import org.lockdale.gateway.reachability.PoolReachability;
import org.lockdale.gateway.resume.StreamOrigins;

/**
 * The services of a node that a request uses.
 *
 * @param limiter enforces the limits of tenants
 * @param placements chooses backends for requests
 * @param decider placement state of this node, used to check the age of weights
 * @param quarantine determines which requests are quarantined
 * @param incarnations notified of requests that reached another incarnation than intended
 * @param rates rate limits that backends advertise
 * @param announcements receives what responses announce about draining and backoff
 * @param reachability detects pools that this node can't connect to
 * @param peers selects the nodes to which requests are forwarded
 * @param configurations receives the versions of the configurations of other nodes
 * @param origins records where streams begin
 * @param observer notified of the progress of attempts
 * @param engines observations and estimates of engines
 * @param waitsForRoom whether requests to engines wait until one has room for them
 * @param held counts what the node holds for slow callers and backends
 */
public record RequestServices(
    TenantLimiter limiter,
    PlacementService placements,
    PlacementDecider decider,
    Quarantine quarantine,
    IncarnationMonitor incarnations,
    BackendRates rates,
    BackendAnnouncements announcements,
    PoolReachability reachability,
    PeerSelector peers,
    PeerConfigurations configurations,
    StreamOrigins origins,
    AttemptObserver observer,
    EngineServices engines,
    boolean waitsForRoom,
    HeldBytes held) {

  /**
   * Records what the head of a response tells about the server that it was meant for.
   *
   * @param connectedAtMillis monotonic time at which its connection was established
   * @param sentAtMillis monotonic time at which the request was sent
   */
  void recordResponse(
      TrackedBackend target, ResponseHead head, long connectedAtMillis, long sentAtMillis) {
    quarantine.livenessEvidence().recordResponse(target, connectedAtMillis, sentAtMillis);
    rates.recordResponse(target.backend().id(), head.advertisedRate(), sentAtMillis);
    announcements.process(target, head);
  }

  /**
   * Returns whether a request may be sent over a connection now. A stream that has begun may not,
   * if the server may have come back since this node read its record: it may have another software
   * version.
   *
   * @param connectionAgeMillis age of the connection in milliseconds
   */
  boolean maySend(
      RequestState state, TrackedBackend target, long connectionAgeMillis, long nowMillis) {
    boolean accepts = target.isServing() && !target.backoff().isActive(nowMillis);
    boolean hasBegun = state.origin != null;
    return accepts && (!hasBegun || leadsTo(target, nowMillis - connectionAgeMillis, nowMillis));
  }

  /** Returns whether a connection leads to an incarnation, and not to the next one. */
  boolean leadsTo(TrackedBackend target, long connectedAtMillis, long nowMillis) {
    return quarantine.livenessEvidence().leadsTo(target, connectedAtMillis, nowMillis);
  }
}
