package org.lockdale.gateway.resume;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lockdale.coordination.blackboard.Snapshot;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.Incarnation;
import org.lockdale.gateway.quarantine.VirtualExecutor;
import org.lockdale.gateway.table.StoreClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** When origins are given to other nodes, and when a stream of unknown origin may go on. */
public final class StreamOriginsTest {

  private static final String POOL = "pool";
  private static final long MAX_AGE_MILLIS = 3_000;

  /** Enough for a read of the store that waits for the interval of reads. */
  private static final long STORE_MILLIS = 400;

  private static final StreamId STREAM = StreamId.of("tenant", "r1");
  private static final StreamOrigin OLD = new StreamOrigin(POOL, "v1");
  private static final StreamOrigin NEW = new StreamOrigin(POOL, "v2");

  /** Records what is told, and gives a reply that the test sets. */
  private static final class RecordingPeers implements OriginPeers {
    final Map<StreamId, StreamOrigin> told = new HashMap<>();
    OriginReply reply = OriginReply.NOT_KEPT;

    @Override
    public void replicate(Map<StreamId, StreamOrigin> origins) {
      told.putAll(origins);
    }

    @Override
    public CompletableFuture<OriginReply> ask(StreamId id) {
      return CompletableFuture.completedFuture(reply);
    }
  }

  private VirtualTime time;
  private RecordingPeers peers;
  private Snapshot<BackendTable> backends;
  private MemoryOriginStore store;
  private boolean reachesStore = true;
  private StoreClock clock;
  private VersionHistory history;
  private StreamOrigins origins;

  @BeforeMethod
  public void start() {
    time = new VirtualTime();
    peers = new RecordingPeers();
    store = new MemoryOriginStore(time);
    clock = new StoreClock();
    clock.observe(time.monotonicMillis(), time.monotonicMillis());
    history = new VersionHistory(clock, time);
    record(RecordedVersion.present(OLD));
    publish("v1");
    PoolVersions versions = new PoolVersions(() -> backends, history, MAX_AGE_MILLIS, time);
    VirtualExecutor executor = new VirtualExecutor(time);
    OriginTable table = new OriginTable(time);
    origins =
        new StreamOrigins(
            table,
            versions,
            peers,
            new OriginRecorder(
                new OriginRecorder.Context(
                    "node-1", store.port(() -> true), () -> 7, clock, executor, time)),
            new OriginArchive(store.port(() -> reachesStore), () -> 7, executor, time),
            time);
  }

  private void record(RecordedVersion... versions) {
    history.onRecords(List.of(versions));
    store.replaceVersions(List.of(versions));
    history.onProof(time.monotonicMillis());
  }

  private void publish(String... versions) {
    List<Backend> records = new ArrayList<>();
    for (String version : versions) {
      int number = records.size() + 1;
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", number);
      records.add(
          new Backend(
              Incarnation.of("i-" + number, 1L),
              POOL,
              address,
              "zone",
              version,
              4,
              false,
              Map.of()));
    }
    backends = new Snapshot<>(BackendTable.EMPTY.with(records), 1, time.monotonicMillis());
    history.onProof(time.monotonicMillis());
  }

  /** Lets the process run for as long as a stream may last. */
  private void settle() {
    origins.tick();
    time.runMillis(OriginTable.RETENTION_MILLIS + 1);
    publish("v1");
    origins.tick();
  }

  private Optional<StreamOrigin> find() {
    CompletableFuture<Optional<StreamOrigin>> found = origins.find(STREAM, Optional.of(POOL));
    time.runMillis(STORE_MILLIS);
    return found.join();
  }

  @Test
  public void originsStayAtTheNodeWhileThePoolHasHadOneVersionForLong() {
    settle();
    origins.recordStart(STREAM, OLD, true);
    origins.tick();
    assertTrue(peers.told.isEmpty());
    assertEquals(find(), Optional.of(OLD));
  }

  @Test
  public void originsAreToldOnceAnotherVersionComes() {
    settle();
    origins.recordStart(STREAM, OLD, true);
    publish("v1", "v2");
    origins.tick();
    assertEquals(peers.told, Map.of(STREAM, OLD));
  }

  @Test
  public void originsAreToldOnceTheTableIsNotProvenRecent() {
    settle();
    origins.recordStart(STREAM, OLD, true);
    time.runMillis(MAX_AGE_MILLIS + 1);
    origins.tick();
    assertEquals(peers.told, Map.of(STREAM, OLD));
  }

  @Test
  public void aProcessThatDoesNotKnowTheRecordedVersionsTellsOriginsAtOnce() {
    record();
    origins.recordStart(STREAM, OLD, true);
    assertEquals(peers.told, Map.of(STREAM, OLD));
  }

  @Test
  public void originsOfRoutesWithSeveralPoolsAreToldAtOnce() {
    settle();
    origins.recordStart(STREAM, OLD, false);
    assertEquals(peers.told, Map.of(STREAM, OLD));
  }

  @Test
  public void anOriginThatNobodyKeepsIsTheSoleVersion() {
    assertEquals(find(), Optional.of(OLD));
  }

  @Test
  public void anOriginIsUnknownToANewProcessWhileAVersionIsRecordedThatItHasNotSeen() {
    record(RecordedVersion.present(OLD), RecordedVersion.present(NEW));
    assertEquals(find(), Optional.empty());
  }

  @Test
  public void anOriginIsUnknownToANewProcessUntilTheOtherVersionHasBeenGoneForLong() {
    long gone = clock.storeMillis(time.monotonicMillis());
    record(RecordedVersion.present(OLD), RecordedVersion.gone(NEW, gone));
    assertEquals(find(), Optional.empty());
    time.runMillis(OriginTable.RETENTION_MILLIS + 1);
    publish("v1");
    assertEquals(find(), Optional.of(OLD));
  }

  @Test
  public void anOriginThatNobodyKeepsIsUnknownWhileTheSoleVersionIsNotRecorded() {
    record();
    assertEquals(find(), Optional.empty());
  }

  @Test
  public void anOriginThatNobodyKeepsIsUnknownWhereTheRecordsAreNotProvenRecent() {
    time.runMillis(MAX_AGE_MILLIS + 1);
    backends = new Snapshot<>(backends.value(), 2, time.monotonicMillis());
    assertEquals(find(), Optional.empty());
  }

  @Test
  public void anOriginIsUnknownWhereTheStoreHasAVersionThatThisNodeHasNotReadYet() {
    store.put(RecordedVersion.present(NEW));
    assertEquals(find(), Optional.empty());
    CompletableFuture<Optional<StreamOrigin>> unnamed = origins.findSole(Optional.of(POOL));
    time.runMillis(STORE_MILLIS);
    assertEquals(unnamed.join(), Optional.empty());
  }

  @Test
  public void anOriginThatNobodyKeepsIsUnknownWhileTheStoreCannotBeRead() {
    reachesStore = false;
    assertEquals(find(), Optional.empty());
    reachesStore = true;
    assertEquals(find(), Optional.of(OLD));
  }

  @Test
  public void anOriginIsStoredWhileTwoVersionsServeAndFoundThereWhereNobodyKeepsIt() {
    publish("v1", "v2");
    store.putRow("node-2/1", Map.of(STREAM, NEW));
    assertEquals(find(), Optional.of(NEW));
    StreamId other = StreamId.of("tenant", "r2");
    origins.recordStart(other, OLD, true);
    time.runMillis(STORE_MILLIS);
    assertTrue(store.rows().values().stream().anyMatch(row -> row.containsKey(other)));
  }

  @Test
  public void nothingIsStoredWhileThePoolHasOneVersion() {
    settle();
    origins.recordStart(STREAM, OLD, true);
    time.runMillis(STORE_MILLIS);
    assertEquals(store.writes(), 0);
  }

  @Test
  public void anOriginThatNobodyKeepsIsUnknownWhileTwoVersionsServe() {
    publish("v1", "v2");
    assertEquals(find(), Optional.empty());
  }

  @Test
  public void anOriginThatNobodyKeepsIsUnknownAfterAnotherVersionHasGone() {
    publish("v1", "v2");
    origins.tick();
    publish("v1");
    assertEquals(find(), Optional.empty());
    time.runMillis(OriginTable.RETENTION_MILLIS + 1);
    publish("v1");
    assertEquals(find(), Optional.of(OLD));
  }

  @Test
  public void anOriginThatNobodyKeepsIsUnknownWhereTheTableIsNotProvenRecent() {
    time.runMillis(MAX_AGE_MILLIS + 1);
    assertEquals(find(), Optional.empty());
  }

  @Test
  public void aNodeThatNoOtherOneAnswersDoesNotRelyOnTheSoleVersion() {
    peers.reply = OriginReply.NO_RESPONSE;
    assertEquals(find(), Optional.empty());
  }

  @Test
  public void anOriginThatAnotherNodeKeepsIsFound() {
    StreamOrigin kept = new StreamOrigin("other", "v7");
    peers.reply = new OriginReply.Kept(kept);
    assertEquals(find(), Optional.of(kept));
  }

  @Test
  public void originsAreForgottenAfterTheirRetention() {
    peers.reply = OriginReply.NO_RESPONSE;
    origins.recordStart(STREAM, OLD, true);
    time.runMillis(OriginTable.RETENTION_MILLIS + 1);
    assertEquals(find(), Optional.empty());
  }

  @Test
  public void theTableIsBounded() {
    OriginTable table = new OriginTable(time);
    for (int stream = 0; stream < 60_000; stream++) {
      table.put(StreamId.of("tenant", "r" + stream), OLD);
    }
    assertTrue(table.size() <= 50_000, "entries: " + table.size());
    assertEquals(table.get(StreamId.of("tenant", "r59999")), Optional.of(OLD));
  }

  @Test
  public void callersDoNotShareIds() {
    origins.recordStart(STREAM, OLD, true);
    peers.reply = OriginReply.NO_RESPONSE;
    StreamId other = StreamId.of("another tenant", "r1");
    CompletableFuture<Optional<StreamOrigin>> found = origins.find(other, Optional.of(POOL));
    time.runMillis(STORE_MILLIS);
    assertEquals(found.join(), Optional.empty());
  }
}
