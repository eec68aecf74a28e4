package org.lockdale.gateway.node;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.gateway.configuration.GatewayConfiguration;
import org.lockdale.gateway.configuration.Pool;
import org.lockdale.gateway.life.IncarnationOrder;
import org.lockdale.gateway.resume.VersionHistory;
import org.lockdale.gateway.table.RowReader;
import org.lockdale.gateway.table.SharedRecords;
import org.lockdale.gateway.table.TableFollower;
import org.lockdale.gateway.table.TableRowChange;
import org.lockdale.http.HttpClient;
import org.tinylog.Logger;

/**
 * Updates the section {@code backends} of the blackboard from the backends' table. Runs on one
 * event loop.
 */
final class BackendController implements TableFollower.Listener {

  /**
   * Time after a restore of the store from an older copy during which records may be out of date.
   * Backends rewrite their records within two seconds; until then, the record of a draining backend
   * may state that it is ready.
   */
  private static final long STALE_RECORDS_MILLIS = 4_000;

  private final GatewayBlackboard blackboard;
  private final RowReader<Backend> reader;
  private final HttpClient client;
  private final EventLoop eventLoop;
  private final Consumer<BackendTable> markDraining;
  private final VersionHistory versions;
  private final Time time;
  private final ExpiredBackends expired;
  private final IncarnationOrder incarnations = new IncarnationOrder();
  private List<Backend> latestRecords = List.of();
  private Set<String> serversWithRow = Set.of();
  private long provenAtMillis;
  private long recordsMayBeStaleUntilMillis = Long.MIN_VALUE;

  /**
   * Creates a controller.
   *
   * @param eventLoop event loop that runs this controller
   * @param blackboard shared state of the node
   * @param records parser of the store's rows
   * @param client HTTP client that closes its idle connections to removed backends
   * @param outage time without a proof after which the store counts as unreachable
   * @param markDraining marks the backends of a new table that are known to be draining
   * @param versions software versions that are recorded; a backend of another one is not used yet
   * @param time clock
   */
  BackendController(
      EventLoop eventLoop,
      GatewayBlackboard blackboard,
      SharedRecords records,
      HttpClient client,
      Duration outage,
      Consumer<BackendTable> markDraining,
      VersionHistory versions,
      Time time) {
    this.eventLoop = eventLoop;
    this.blackboard = blackboard;
    this.reader = new RowReader<>(row -> Optional.of(records.backend(row)));
    this.client = client;
    this.expired = new ExpiredBackends(outage.toMillis());
    this.markDraining = markDraining;
    this.versions = versions;
    this.time = time;
  }

  @Override
  public void onTable(Map<String, TableRowChange> rows, boolean changed, long provenMillis) {
    expired.onProof(provenMillis, time.monotonicMillis());
    provenAtMillis = provenMillis;
    if (changed) {
      latestRecords = reader.read(rows);
      serversWithRow = Set.copyOf(rows.keySet());
      publish();
    } else {
      blackboard.backends().publish(blackboard.backends().value(), provenMillis);
    }
  }

  @Override
  public void onUnreachable() {
    expired.onUnreachable();
  }

  @Override
  public void onHistoryReplaced() {
    long now = time.monotonicMillis();
    recordsMayBeStaleUntilMillis = now + STALE_RECORDS_MILLIS;
    expired.onHistoryReplaced(now);
    eventLoop.schedule(this::publish, STALE_RECORDS_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns the record to use for a backend while records may be out of date. An incarnation that
   * its earlier record described as draining stays draining.
   */
  private Backend keepDraining(Backend record, BackendTable before) {
    TrackedBackend known = before.find(record.id());
    boolean drains = known != null && known.backend().draining() && !record.draining();
    return drains ? known.backend() : record;
  }

  /** Applies a change of the recorded software versions. */
  void onVersionsRecorded() {
    publish();
  }

  /** Applies a newer configuration. */
  void onConfiguration() {
    publish();
  }

  /**
   * Returns the records whose pool is configured; in a pool of engines, only those that run one of
   * its models. Other records may come from a foreign writer. A thousand of them would occupy the
   * slots of a rollout and the connections for cache events.
   */
  private List<Backend> inConfiguredPools() {
    GatewayConfiguration configuration = blackboard.configuration().value();
    return latestRecords.stream()
        .filter(
            record ->
                configuration
                    .pool(record.pool())
                    .filter(pool -> servesModelOf(record, pool))
                    .isPresent())
        .toList();
  }

  private static boolean servesModelOf(Backend record, Pool pool) {
    return !pool.hasEngines() || !Collections.disjoint(pool.models(), record.weights().keySet());
  }

  /**
   * Marks an incarnation as ended if another one of the same server has replaced it. Its open
   * requests would otherwise wait for responses that cannot come.
   */
  private static void markEndedIfReplaced(TrackedBackend removed, BackendTable after) {
    if (after.resolve(removed.backend().incarnation().server()) != null) {
      removed.markEnded();
    }
  }

  /** Returns whether an incarnation is known to have ended although its record still exists. */
  private boolean hasEnded(Backend backend) {
    TrackedBackend tracked = blackboard.backends().value().find(backend.id());
    return tracked != null && tracked.hasEnded();
  }

  /** A node that uses no backend yet waits for all, so that it is not ready for some pools only. */
  private static boolean awaitsVersions(
      BackendTable before, List<Backend> configured, List<Backend> serving) {
    return before.all().isEmpty() && serving.size() < configured.size();
  }

  private void scheduleNextPublish(long nowMillis) {
    long retentionEnd = expired.hasRetained() ? expired.retentionEndsAtMillis() : Long.MAX_VALUE;
    long due = Math.min(retentionEnd, incarnations.nextDecisionAtMillis());
    if (due != Long.MAX_VALUE) {
      eventLoop.schedule(this::publish, due - nowMillis, TimeUnit.MILLISECONDS);
    }
  }

  private void publish() {
    List<Backend> configured = inConfiguredPools();
    versions.onBackends(configured);
    BackendTable before = blackboard.backends().value();
    List<Backend> serving =
        versions.selectServing(configured, backend -> before.find(backend.id()) != null);
    if (awaitsVersions(before, configured, serving)) {
      return;
    }
    List<Backend> inUse =
        before.all().stream()
            .filter(tracked -> !tracked.hasAnnouncedDraining())
            .map(TrackedBackend::backend)
            .toList();
    long now = time.monotonicMillis();
    List<Backend> current = incarnations.selectRecords(serving, this::hasEnded, now);
    if (now < recordsMayBeStaleUntilMillis) {
      current = current.stream().map(record -> keepDraining(record, before)).toList();
    }
    BackendTable after = before.with(expired.merge(inUse, current, serversWithRow, now));
    markDraining.accept(after);
    scheduleNextPublish(now);
    if (after.sameRecordsAs(before)) {
      // Rows may also change in fields that records omit, such as the time of the backend's last
      // heartbeat.
      blackboard.backends().publish(before, provenAtMillis);
      return;
    }
    after.all().forEach(blackboard.rollout().value()::applyTo);
    blackboard.backends().publish(after, provenAtMillis);
    for (TrackedBackend removed : before.all()) {
      if (after.find(removed.backend().id()) == null) {
        client.closeIdleConnections(removed.backend().address());
        markEndedIfReplaced(removed, after);
      }
    }
    Logger.info("event=backends-changed count={}", after.all().size());
  }
}
