package org.lockdale.gateway.resume;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.tinylog.Logger;

/**
 * Records in the shared store which software versions backends run. Each node records a version
 * that it sees, unless another one has done so before; the coordinator also marks the ones that
 * have gone. Runs on one event loop.
 */
public final class VersionRecorder {

  /** Delay of another attempt after a failed write, in milliseconds. */
  private static final long RETRY_MILLIS = 250;

  /** Spreads the writes of all nodes that see a new version at the same moment. */
  private static final int SPREAD_MILLIS_PER_NODE = 5;

  /** Other nodes wait for the coordinator's record, the longer the more of them there are. */
  private static final int WAIT_MILLIS_PER_NODE = 20;

  /** Within this time the coordinator's record has reached all nodes. */
  private static final int MAX_WAIT_MILLIS = 600;

  /**
   * Dependencies of a recorder.
   *
   * @param history records and what is due
   * @param store store of the records
   * @param coordinator whether this node marks versions that have gone
   * @param backendsCurrent whether the backends' table is proven recent
   * @param nodes supplies the number of nodes, or 0 while it is unknown
   * @param onRecorded called after a version has been recorded
   * @param eventLoop runs the recorder
   * @param time clock
   */
  public record Context(
      VersionHistory history,
      OriginStore store,
      BooleanSupplier coordinator,
      BooleanSupplier backendsCurrent,
      IntSupplier nodes,
      Runnable onRecorded,
      Executor eventLoop,
      Time time) {}

  private final Context context;
  private final Set<StreamOrigin> writing = new HashSet<>();
  private final Map<StreamOrigin, Long> delays = new HashMap<>();
  private long retryAtMillis = Long.MIN_VALUE;

  /** Creates a recorder. */
  public VersionRecorder(Context context) {
    this.context = context;
  }

  /** Writes what is due; to be called periodically. */
  public void tick() {
    if (context.time().monotonicMillis() < retryAtMillis) {
      return;
    }
    Map<StreamOrigin, Long> unrecorded = context.history().unrecorded();
    delays.keySet().retainAll(unrecorded.keySet());
    unrecorded.forEach(this::recordWhenDue);
    if (context.coordinator().getAsBoolean() && context.backendsCurrent().getAsBoolean()) {
      context.history().newlyGone().forEach(this::write);
      context.history().expired().forEach(this::remove);
    }
  }

  private void recordWhenDue(StreamOrigin version, long sinceMillis) {
    long delay = delays.computeIfAbsent(version, first -> delayMillis());
    if (context.time().monotonicMillis() - sinceMillis >= delay) {
      write(RecordedVersion.present(version));
    }
  }

  private long delayMillis() {
    if (context.coordinator().getAsBoolean()) {
      return 0;
    }
    int nodes = context.nodes().getAsInt();
    int spread = ThreadLocalRandom.current().nextInt(1 + SPREAD_MILLIS_PER_NODE * nodes);
    return Math.min(MAX_WAIT_MILLIS, WAIT_MILLIS_PER_NODE * nodes) + spread;
  }

  private void write(RecordedVersion record) {
    run(record.version(), () -> context.store().writeVersion(record), () -> onWritten(record));
  }

  private void onWritten(RecordedVersion record) {
    context.history().onWritten(record);
    Logger.info(
        "event=software-version-recorded pool={} software-version={} present={}",
        record.version().pool(),
        record.version().softwareVersion(),
        record.isPresent());
    context.onRecorded().run();
  }

  private void remove(StreamOrigin version) {
    run(version, () -> context.store().removeVersion(version), () -> {});
  }

  /** Makes a call unless one for the same version is under way. */
  private void run(
      StreamOrigin version, Supplier<CompletableFuture<@Nullable Void>> call, Runnable onSuccess) {
    if (!writing.add(version)) {
      return;
    }
    call.get()
        .whenCompleteAsync(
            (done, failure) -> {
              writing.remove(version);
              if (failure == null) {
                onSuccess.run();
              } else {
                onFailed(version, failure);
              }
            },
            context.eventLoop());
  }

  private void onFailed(StreamOrigin version, Throwable failure) {
    int nodes = context.nodes().getAsInt();
    retryAtMillis = context.time().monotonicMillis() + RETRY_MILLIS + WAIT_MILLIS_PER_NODE * nodes;
    Logger.info(
        "event=software-version-not-recorded pool={} software-version={} cause=\"{}\"",
        version.pool(),
        version.softwareVersion(),
        failure.getMessage());
  }
}
