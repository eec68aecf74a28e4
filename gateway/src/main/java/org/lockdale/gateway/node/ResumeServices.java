package org.lockdale.gateway.node;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.gateway.cluster.DatagramExchange;
import org.lockdale.gateway.cluster.NodeRegistry;
import org.lockdale.gateway.cluster.OriginExchange;
import org.lockdale.gateway.resume.OriginArchive;
import org.lockdale.gateway.resume.OriginRecorder;
import org.lockdale.gateway.resume.OriginStore;
import org.lockdale.gateway.resume.OriginTable;
import org.lockdale.gateway.resume.PoolVersions;
import org.lockdale.gateway.resume.RecordedVersion;
import org.lockdale.gateway.resume.StreamOrigins;
import org.lockdale.gateway.resume.VersionHistory;
import org.lockdale.gateway.resume.VersionRecorder;
import org.lockdale.gateway.table.StoreClock;

/**
 * The services that let streams go on where they began.
 *
 * @param origins records where streams begin
 * @param exchange keeps the origins of streams of other nodes
 * @param history software versions that are recorded in the store
 * @param recorder records the versions
 * @param onVersionsChanged called when a backend may serve that was held back
 */
record ResumeServices(
    StreamOrigins origins,
    OriginExchange exchange,
    VersionHistory history,
    VersionRecorder recorder,
    Runnable onVersionsChanged) {

  private static final long TICK_MILLIS = 200;

  /**
   * Dependencies of the services.
   *
   * @param eventLoop event loop that runs the services
   * @param blackboard shared state of the node
   * @param nodes registry of the other nodes
   * @param size supplies the number of nodes, or 0 while it is unknown
   * @param datagrams sends messages to them
   * @param store rows that tell where streams began
   * @param clock the store's clock
   * @param coordinator whether this node coordinates the others
   * @param maxAgeMillis age beyond which the backends' table may lack a backend
   * @param onVersionsChanged called when a backend may serve that was held back
   * @param time clock
   */
  record Context(
      EventLoop eventLoop,
      GatewayBlackboard blackboard,
      NodeRegistry nodes,
      IntSupplier size,
      DatagramExchange datagrams,
      OriginStore store,
      StoreClock clock,
      BooleanSupplier coordinator,
      long maxAgeMillis,
      Runnable onVersionsChanged,
      Time time) {}

  /** Creates the services; {@link #start} starts them. */
  static ResumeServices of(Context context) {
    Time time = context.time();
    OriginTable table = new OriginTable(time);
    OriginExchange exchange = exchange(context, table);
    VersionHistory history = new VersionHistory(context.clock(), time);
    PoolVersions versions =
        new PoolVersions(
            context.blackboard().backends()::snapshot, history, context.maxAgeMillis(), time);
    StreamOrigins origins =
        new StreamOrigins(
            table,
            versions,
            exchange,
            originRecorder(context),
            new OriginArchive(context.store(), context.size(), context.eventLoop(), time),
            time);
    return new ResumeServices(
        origins,
        exchange,
        history,
        versionRecorder(context, history, versions),
        context.onVersionsChanged());
  }

  private static OriginExchange exchange(Context context, OriginTable table) {
    return new OriginExchange(
        new OriginExchange.Context(
            context.nodes().self(),
            context.nodes()::peers,
            context.size(),
            context.eventLoop(),
            context.datagrams()::sendOriginMessage,
            table));
  }

  private static OriginRecorder originRecorder(Context context) {
    return new OriginRecorder(
        new OriginRecorder.Context(
            context.nodes().self().id(),
            context.store(),
            context.size(),
            context.clock(),
            context.eventLoop(),
            context.time()));
  }

  private static VersionRecorder versionRecorder(
      Context context, VersionHistory history, PoolVersions versions) {
    return new VersionRecorder(
        new VersionRecorder.Context(
            history,
            context.store(),
            context.coordinator(),
            versions::isTableCurrent,
            context.size(),
            context.onVersionsChanged(),
            context.eventLoop(),
            context.time()));
  }

  /** Starts the services. */
  void start(EventLoop eventLoop) {
    eventLoop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    origins.tick();
    recorder.tick();
    if (history.isHoldingBack()) {
      onVersionsChanged.run();
    }
  }

  /** Processes all records of software versions in the cluster table. */
  void onRecordedVersions(List<RecordedVersion> versions) {
    boolean changed = history.onRecords(versions);
    recorder.tick();
    if (changed) {
      onVersionsChanged.run();
    }
  }
}
