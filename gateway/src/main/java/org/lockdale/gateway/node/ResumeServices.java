package org.lockdale.gateway.node;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.gateway.cluster.DatagramExchange;
import org.lockdale.gateway.cluster.NodeRegistry;
import org.lockdale.gateway.cluster.OriginExchange;
import org.lockdale.gateway.resume.OriginTable;
import org.lockdale.gateway.resume.PoolVersions;
import org.lockdale.gateway.resume.StreamOrigins;

/**
 * The services that let streams go on where they began.
 *
 * @param origins records where streams begin
 * @param exchange keeps the origins of streams of other nodes
 */
record ResumeServices(StreamOrigins origins, OriginExchange exchange) {

  private static final long TICK_MILLIS = 200;

  /**
   * Creates the services; {@link #start} starts them.
   *
   * @param eventLoop event loop that runs the services
   * @param blackboard shared state of the node
   * @param nodes registry of the other nodes
   * @param size supplies the number of nodes, or 0 while it is unknown
   * @param datagrams sends messages to them
   * @param maxAgeMillis age beyond which the backends' table may lack a backend
   * @param time clock
   */
  static ResumeServices of(
      EventLoop eventLoop,
      GatewayBlackboard blackboard,
      NodeRegistry nodes,
      IntSupplier size,
      DatagramExchange datagrams,
      long maxAgeMillis,
      Time time) {
    OriginTable table = new OriginTable(time);
    OriginExchange exchange =
        new OriginExchange(
            new OriginExchange.Context(
                nodes.self(), nodes::peers, size, eventLoop, datagrams::sendOriginMessage, table));
    PoolVersions versions = new PoolVersions(blackboard.backends()::snapshot, maxAgeMillis, time);
    return new ResumeServices(new StreamOrigins(table, versions, exchange, time), exchange);
  }

  /** Starts the services. */
  void start(EventLoop eventLoop) {
    eventLoop.scheduleAtFixedRate(origins::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }
}
