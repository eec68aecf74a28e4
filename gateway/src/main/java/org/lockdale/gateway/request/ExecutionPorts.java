package org.lockdale.gateway.request;

/**
 * What the execution of one request uses; it has no other effects.
 *
 * @param timers clock and timers
 * @param environment the caller's connection and the pool
 * @param placing chooses backends and creates the attempts at them
 * @param reports receives what attempts show
 * @param queuePlace place in the estimated queue of the pool
 * @param peerCalls calls to other nodes
 * @param ending sends the response where the request is given up
 */
record ExecutionPorts(
    RequestTimers timers,
    RequestEnvironment environment,
    AttemptPlacing placing,
    AttemptReports reports,
    QueuePlace queuePlace,
    PeerCalls peerCalls,
    RequestEnding ending) {

  /** Returns the ports of a request at this node. */
  static ExecutionPorts of(RequestPath path, RequestState state) {
    return new ExecutionPorts(
        new EventLoopTimers(state.exchange.eventLoop(), path.time()),
        new NodeEnvironment(path, state),
        new RequestPlacement(path, state),
        new AttemptReporter(path, state),
        new EngineQueuePlace(path, state),
        new NodePeerCalls(path, state),
        new FinalResponse(path, state));
  }
}
