package org.lockdale.router.request;

import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import org.lockdale.coordination.claim.RunOnceClaims;
import org.lockdale.coordination.time.Time;
import org.lockdale.router.blackboard.Blackboard;
import org.lockdale.router.engine.EngineClient;
import org.lockdale.router.limit.CapacityQueue;
import org.lockdale.router.limit.TenantUsageTable;
import org.lockdale.router.placement.PrefixIndex;

/** Builds a {@link RequestPath}. Components without a default must be set. */
public final class RequestPathBuilder {

  final Blackboard blackboard;
  final String nodeId;
  final String zone;
  final Time time;
  EventLoopGroup eventLoops;
  EngineClient engineClient;
  RunOnceClaims claims;
  PrefixIndex prefixes;
  CapacityQueue queue;
  TenantUsageTable usage;
  RequestRecorder recorder;
  Duration defaultDeadline = Duration.ofMinutes(2);
  Duration tokenTimeout = Duration.ofSeconds(10);
  int maxRetries = 3;

  /** Creates a builder for a node. */
  public RequestPathBuilder(Blackboard blackboard, String nodeId, String zone, Time time) {
    this.blackboard = blackboard;
    this.nodeId = nodeId;
    this.zone = zone;
    this.time = time;
  }

  /** Sets the client of the engines and the event loops of the node. */
  public RequestPathBuilder engines(EngineClient client, EventLoopGroup group) {
    engineClient = client;
    eventLoops = group;
    return this;
  }

  /** Sets the store of claims. */
  public RequestPathBuilder claims(RunOnceClaims runOnceClaims) {
    claims = runOnceClaims;
    return this;
  }

  /** Sets the index of cached prefixes. */
  public RequestPathBuilder prefixes(PrefixIndex index) {
    prefixes = index;
    return this;
  }

  /** Sets the capacity queue and the usage counters of tenants. */
  public RequestPathBuilder limits(CapacityQueue capacityQueue, TenantUsageTable tenantUsage) {
    queue = capacityQueue;
    usage = tenantUsage;
    return this;
  }

  /** Sets the recorder of finished requests. */
  public RequestPathBuilder recorder(RequestRecorder requestRecorder) {
    recorder = requestRecorder;
    return this;
  }

  /** Sets the default deadline of requests and the timeout between two tokens of a stream. */
  public RequestPathBuilder timeouts(Duration deadline, Duration tokens) {
    defaultDeadline = deadline;
    tokenTimeout = tokens;
    return this;
  }

  /** Sets the maximum number of retries of a request. */
  public RequestPathBuilder maxRetries(int retries) {
    maxRetries = retries;
    return this;
  }

  /** Returns the path. */
  public RequestPath build() {
    return new RequestPath(this);
  }
}
