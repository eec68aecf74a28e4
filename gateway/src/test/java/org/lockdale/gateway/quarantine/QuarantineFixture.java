package org.lockdale.gateway.quarantine;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.coordination.blackboard.Snapshot;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.caller.CallerRequest;
import org.lockdale.gateway.life.LivenessEvidence;
import org.lockdale.gateway.quarantine.part.SuspectParts;
import org.lockdale.http.Reachability;
import org.testng.annotations.BeforeMethod;

/** One node with a quarantine, whose tables and backends a test sets. */
abstract class QuarantineFixture {

  static final int BACKENDS = 4;
  static final long SOON_MILLIS = 50;
  static final long RECORD_MILLIS = LivenessEvidence.RECORD_EXPIRY_MILLIS + 500;

  final List<Suspect> broadcast = new ArrayList<>();
  VirtualTime time;
  BackendTable backends;
  Section<Suspects> section;
  Quarantine quarantine;
  Reachability addresses;
  boolean attemptOwnersRun;
  boolean tableIsCurrent;
  long tableCurrentAtMillis;

  @BeforeMethod
  public void create() {
    time = new VirtualTime();
    start();
  }

  void start() {
    broadcast.clear();
    backends =
        BackendTable.EMPTY.with(
            IntStream.range(0, BACKENDS).mapToObj(QuarantineFixture::backend).toList());
    section = new Section<>(Suspects.NONE);
    addresses = Reachability.ACCEPTS;
    attemptOwnersRun = false;
    tableIsCurrent = true;
    QuarantineContext context =
        new QuarantineContext(
            new VirtualExecutor(time),
            address -> CompletableFuture.completedFuture(addresses),
            this::records,
            new EmptySuspectTable(),
            "node",
            broadcast::addAll,
            parts -> {},
            attempt -> CompletableFuture.completedFuture(attemptOwnersRun),
            () -> false,
            time);
    quarantine =
        new Quarantine(
            context,
            section,
            new Section<>(SuspectParts.NONE),
            new QuarantineTimes(3_600_000, 5_000));
    quarantine.start();
    time.runMillis(SOON_MILLIS);
  }

  private Snapshot<BackendTable> records() {
    if (tableIsCurrent) {
      tableCurrentAtMillis = time.monotonicMillis();
    }
    return new Snapshot<>(backends, 0, tableCurrentAtMillis);
  }

  static Backend backend(int number) {
    return new Backend(idOf(number), "pool", addressOf(number), "zone", 4, false, Map.of());
  }

  static String idOf(int number) {
    return "i-" + number + "@1";
  }

  static InetSocketAddress addressOf(int number) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 7_000 + number);
  }

  static CallerRequest request() {
    return Requests.of("r", "/a", "body");
  }

  void lose(int backend, LostAttempt.Loss loss) {
    quarantine.attemptLost(
        new LostAttempt(
            idOf(backend), addressOf(backend), request(), "tenant", 0, loss, 0, false, 0));
  }

  boolean isQuarantined() {
    return quarantine.quarantined(request(), "tenant").isPresent();
  }
}
