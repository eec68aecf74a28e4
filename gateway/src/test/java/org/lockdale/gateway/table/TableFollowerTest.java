package org.lockdale.gateway.table;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.DefaultEventLoop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.table.TableServiceException;
import org.lockdale.coordination.time.SystemTime;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A copy of a table stays complete across pages, lost history, failures and stale scans. */
public final class TableFollowerTest {

  private static final class ScriptedFeed implements TableFeed {
    final Deque<CompletableFuture<TablePage>> scans = new ArrayDeque<>();
    final Deque<CompletableFuture<TablePage>> changes = new ArrayDeque<>();
    private final List<String> calls = new ArrayList<>();
    long scannedAtMillis;

    synchronized List<String> calls() {
      return List.copyOf(calls);
    }

    /** Returns the first calls; the follower may be making further ones. */
    synchronized List<String> firstCalls(int count) {
      return List.copyOf(calls.subList(0, count));
    }

    @Override
    public synchronized CompletableFuture<TablePage> scan(String table, @Nullable String fromKey) {
      scannedAtMillis = SystemTime.instance().monotonicMillis();
      calls.add("scan " + (fromKey == null ? "start" : fromKey.replace('\0', '+')));
      return scans.isEmpty() ? new CompletableFuture<>() : scans.poll();
    }

    @Override
    public synchronized CompletableFuture<TablePage> changes(
        String table, long afterVersion, Duration wait) {
      calls.add("changes " + afterVersion);
      return changes.isEmpty() ? new CompletableFuture<>() : changes.poll();
    }
  }

  private static final InetSocketAddress RELAY = new InetSocketAddress("127.0.0.1", 1);

  private ScriptedFeed feed;
  private final List<Long> peerCalls = new CopyOnWriteArrayList<>();
  private final List<InetSocketAddress> peerAddresses = new CopyOnWriteArrayList<>();
  private final Deque<CompletableFuture<TablePeers.Response>> peerResponses = new ArrayDeque<>();
  private final TablePeers peers =
      (peer, table, afterChange) -> {
        peerCalls.add(afterChange);
        peerAddresses.add(peer);
        return peerResponses.poll();
      };
  private StoreClock clock;
  private BlockingQueue<Map<String, String>> copies;
  private DefaultEventLoop eventLoop;

  @BeforeMethod
  public void start() {
    eventLoop = new DefaultEventLoop();
    clock = new StoreClock();
    // A follower of an earlier test may still make calls, which must not reach this feed.
    feed = new ScriptedFeed();
    copies = new LinkedBlockingQueue<>();
    peerCalls.clear();
    peerAddresses.clear();
    peerResponses.clear();
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    eventLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static TableRowChange row(String key, String value, long version) {
    return new TableRowChange(key, value.getBytes(StandardCharsets.UTF_8), version, false);
  }

  private static CompletableFuture<TablePage> page(
      boolean more, long version, TableRowChange... rows) {
    return CompletableFuture.completedFuture(new TablePage(List.of(rows), more, version, 0));
  }

  private static CompletableFuture<TablePage> failure(TableServiceException.Kind kind) {
    return CompletableFuture.failedFuture(new TableServiceException(kind, "scripted"));
  }

  private TableFollower follow() {
    return follow(true);
  }

  private TableFollower follow(boolean pollsStore) {
    TableFollower follower = follower("table", Duration.ofDays(1));
    follower.start();
    eventLoop.execute(() -> follower.follow(pollsStore));
    return follower;
  }

  private TableFollower follower(String table, Duration maxRelayProofAge) {
    BlockingQueue<Map<String, String>> received = copies;
    return follower(
        table, maxRelayProofAge, (rows, changed, provenAt) -> received.add(texts(rows)));
  }

  private TableFollower follower(
      String table, Duration maxRelayProofAge, TableFollower.Listener listener) {
    return new TableFollower(
        eventLoop,
        new TableFollower.Sources(feed, peers, clock),
        new TableFollower.Plan(table, Duration.ofSeconds(1), Duration.ZERO, maxRelayProofAge),
        SystemTime.instance(),
        listener);
  }

  private static Map<String, String> texts(Map<String, TableRowChange> rows) {
    Map<String, String> texts = new TreeMap<>();
    rows.forEach((key, row) -> texts.put(key, new String(row.value(), StandardCharsets.UTF_8)));
    return texts;
  }

  private Map<String, String> nextCopy() throws InterruptedException {
    Map<String, String> copy = copies.poll(10, TimeUnit.SECONDS);
    assertTrue(copy != null, "no copy was received");
    return copy;
  }

  @Test
  public void pagesAreJoinedAndChangesFollowFromTheFirstPageOn() throws InterruptedException {
    feed.scans.add(page(true, 5, row("a", "1", 1)));
    feed.scans.add(page(false, 8, row("b", "2", 2)));
    feed.changes.add(page(false, 9, row("a", "3", 6)));
    follow();
    assertEquals(nextCopy(), Map.of("a", "1", "b", "2"));
    assertEquals(nextCopy(), Map.of("a", "3", "b", "2"));
    assertEquals(feed.firstCalls(3), List.of("scan start", "scan a+", "changes 5"));
  }

  @Test
  public void removalsAreAppliedAndFailuresAreRetriedFromTheSameVersion()
      throws InterruptedException {
    feed.scans.add(page(false, 3, row("a", "1", 1), row("b", "2", 2)));
    feed.changes.add(failure(TableServiceException.Kind.UNREACHABLE));
    feed.changes.add(failure(TableServiceException.Kind.OUTCOME_UNKNOWN));
    feed.changes.add(page(false, 4, new TableRowChange("a", new byte[0], 4, true)));
    follow();
    nextCopy();
    assertEquals(nextCopy(), Map.of("b", "2"));
    assertEquals(feed.firstCalls(4), List.of("scan start", "changes 3", "changes 3", "changes 3"));
  }

  @Test
  public void aTableWhoseProcessingFailsIsFollowedOnAndProcessedWithTheNextProof()
      throws InterruptedException {
    feed.scans.add(page(false, 3, row("a", "1", 1)));
    feed.changes.add(page(false, 4, row("a", "bad", 4)));
    feed.changes.add(page(false, 5));
    BlockingQueue<Map<String, String>> received = copies;
    Deque<Error> failures = new ArrayDeque<>(List.of(new StackOverflowError()));
    TableFollower follower =
        follower(
            "table",
            Duration.ofDays(1),
            (rows, changed, provenAt) -> {
              if (texts(rows).containsValue("bad") && !failures.isEmpty()) {
                throw failures.poll();
              }
              if (changed) {
                received.add(texts(rows));
              }
            });
    follower.start();
    eventLoop.execute(() -> follower.follow(true));
    assertEquals(nextCopy(), Map.of("a", "1"));
    assertEquals(nextCopy(), Map.of("a", "bad"));
  }

  private boolean announce(TableFollower follower, long lastChange) throws Exception {
    return eventLoop
        .submit(() -> follower.onProofAnnounced(RELAY, new TableProof("table", lastChange, 1_000)))
        .get()
        .get(10, TimeUnit.SECONDS);
  }

  @Test
  public void aNodeThatDoesNotFollowReadsOnlyWhatARelayAnnounces() throws Exception {
    feed.scans.add(page(false, 5, row("a", "1", 1)));
    TableFollower follower = follow(false);
    nextCopy();
    assertTrue(announce(follower, 5));
    assertEquals(nextCopy(), Map.of("a", "1"));
    TableChanges changes = new TableChanges(false, 7, List.of(row("b", "2", 7)));
    peerResponses.add(
        CompletableFuture.completedFuture(new TablePeers.Response(changes, 1_100, 3)));
    assertTrue(announce(follower, 7));
    assertEquals(nextCopy(), Map.of("a", "1", "b", "2"));
    assertEquals(peerCalls, List.of(5L));
    assertEquals(feed.calls(), List.of("scan start"), "the store gets no further calls");
  }

  @Test
  public void aProofReceivedFromARelayIsNotAnnouncedAsOwn() throws Exception {
    feed.scans.add(page(false, 5, row("a", "1", 1)));
    TableFollower follower = follow(false);
    nextCopy();
    TableProof own = follower.proof();
    assertTrue(announce(follower, 5));
    nextCopy();
    assertEquals(follower.proof(), own);
    assertEquals(follower.respond(5).storeMillis(), 1_000, "the copy itself is proven");
  }

  @Test
  public void aNodeWhoseCopyNoRelayProvesReadsTheStoreItself() throws Exception {
    feed.scans.add(page(false, 5, row("a", "1", 1)));
    feed.changes.add(failure(TableServiceException.Kind.UNREACHABLE));
    feed.changes.add(page(false, 6, row("a", "2", 6)));
    follower("table", Duration.ofMillis(1)).start();
    assertEquals(nextCopy(), Map.of("a", "1"));
    assertEquals(nextCopy(), Map.of("a", "2"));
    assertEquals(feed.firstCalls(3), List.of("scan start", "changes 5", "changes 5"));
  }

  @Test
  public void changesThatARelayRefusesAreReadFromTheStore() throws Exception {
    feed.scans.add(page(false, 5, row("a", "1", 1)));
    TableFollower follower = follow(false);
    nextCopy();
    peerResponses.add(CompletableFuture.failedFuture(new TransferTooLargeException("table")));
    feed.changes.add(
        page(false, 9, row("b", "2", 6), new TableRowChange("a", new byte[0], 7, true)));
    assertTrue(announce(follower, 8));
    assertEquals(nextCopy(), Map.of("b", "2"));
    assertEquals(feed.calls(), List.of("scan start", "changes 5"));
    assertTrue(announce(follower, 9));
    assertEquals(
        peerCalls, List.of(5L), "changes read from the store need not be read from the relay");
  }

  @Test
  public void allRowsAreReadFromTheRelayIfTheStoreDoesNotRespond() throws Exception {
    feed.scans.add(page(false, 5, row("a", "1", 1)));
    TableFollower follower = follow(false);
    nextCopy();
    TableChanges allRows = new TableChanges(true, 8, List.of(row("b", "2", 6)));
    peerResponses.add(CompletableFuture.failedFuture(new TransferTooLargeException("table")));
    peerResponses.add(
        CompletableFuture.completedFuture(new TablePeers.Response(allRows, 1_100, 3)));
    feed.changes.add(failure(TableServiceException.Kind.UNREACHABLE));
    assertTrue(announce(follower, 8));
    assertEquals(nextCopy(), Map.of("b", "2"));
    assertEquals(peerCalls, List.of(5L, TableCopy.UNKNOWN));
  }

  @Test
  public void aFailedReadFromARelayIsReportedAndRepeated() throws Exception {
    feed.scans.add(page(false, 5, row("a", "1", 1)));
    TableFollower follower = follow(false);
    nextCopy();
    peerResponses.add(CompletableFuture.failedFuture(new IllegalStateException("down")));
    assertFalse(announce(follower, 6));
    TableChanges allRows = new TableChanges(true, 9, List.of(row("c", "3", 9)));
    peerResponses.add(
        CompletableFuture.completedFuture(new TablePeers.Response(allRows, 1_100, 3)));
    assertTrue(announce(follower, 9));
    assertEquals(nextCopy(), Map.of("c", "3"), "rows that the complete table lacks are removed");
  }

  @Test
  public void aNodeThatStartsDuringAnOutageReadsFromARelay() throws Exception {
    TableFollower follower = follow(false);
    TableChanges allRows = new TableChanges(true, 9, List.of(row("c", "3", 9)));
    peerResponses.add(
        CompletableFuture.completedFuture(new TablePeers.Response(allRows, 1_100, 50)));
    long sentAt = SystemTime.instance().monotonicMillis();
    assertTrue(announce(follower, 9));
    assertEquals(nextCopy(), Map.of("c", "3"));
    assertEquals(peerCalls, List.of(-1L));
    long provenAt = follower.provenAtMillis();
    assertTrue(provenAt >= sentAt - 50, "the age of the relay's proof is included");
    assertTrue(provenAt <= SystemTime.instance().monotonicMillis() - 50);
    assertEquals(
        clock.localMillis(1_100),
        provenAt,
        "the response of the relay sets the offset of the store's clock");
  }

  @Test
  public void lostHistoryCausesAScanThatRevertsAndRestoresNoRow() throws InterruptedException {
    feed.scans.add(page(false, 3, row("a", "new", 3)));
    feed.changes.add(failure(TableServiceException.Kind.HISTORY_LOST));
    feed.scans.add(page(true, 2, row("a", "stale", 2), row("b", "removed since", 1)));
    feed.scans.add(page(false, 4, row("c", "later", 4)));
    follow();
    assertEquals(nextCopy(), Map.of("a", "new"));
    assertEquals(nextCopy(), Map.of("a", "new", "c", "later"));
  }

  private static TableRowChange removal(String key, long version) {
    return new TableRowChange(key, new byte[0], version, true);
  }

  private void addRelayResponse(boolean complete, long lastChange, TableRowChange... rows) {
    TableChanges changes = new TableChanges(complete, lastChange, List.of(rows));
    peerResponses.add(
        CompletableFuture.completedFuture(new TablePeers.Response(changes, 1_100, 3)));
  }

  /** The response of the store was held up while its link was cut. */
  @Test
  public void aLateResponseOfTheStoreDoesNotRestoreARowThatARelayRemoved() throws Exception {
    feed.scans.add(page(false, 5, row("a", "1", 1), row("b", "1", 2)));
    CompletableFuture<TablePage> held = new CompletableFuture<>();
    feed.changes.add(held);
    TableFollower follower = follow(true);
    nextCopy();
    addRelayResponse(false, 7, row("b", "2", 6), removal("b", 7));
    assertTrue(announce(follower, 7));
    assertEquals(nextCopy(), Map.of("a", "1"));
    held.complete(page(false, 6, row("b", "2", 6)).join());
    assertEquals(nextCopy(), Map.of("a", "1"));
  }

  /** The later pages of the scan were held up, and were read before the row was removed. */
  @Test
  public void aLateScanDoesNotRestoreARowThatARelayRemoved() throws Exception {
    feed.scans.add(page(true, 5, row("a", "1", 1)));
    CompletableFuture<TablePage> held = new CompletableFuture<>();
    feed.scans.add(held);
    TableFollower follower = follow(false);
    addRelayResponse(true, 8, row("a", "1", 1));
    assertTrue(announce(follower, 8));
    assertEquals(nextCopy(), Map.of("a", "1"));
    held.complete(page(false, 7, row("b", "2", 7)).join());
    assertEquals(nextCopy(), Map.of("a", "1"));
  }

  /** The pair of times sets the offset of the store's clock at nodes that read from this copy. */
  @Test
  public void aSlowScanDoesNotDateTheStoresClockTooLate() throws InterruptedException {
    long storeOffset = 5_000;
    CompletableFuture<TablePage> response = new CompletableFuture<>();
    feed.scans.add(response);
    TableFollower follower = follow(false);
    eventLoop.schedule(
        () -> {
          long storeMillis = feed.scannedAtMillis + storeOffset;
          response.complete(new TablePage(List.of(row("a", "1", 1)), false, 5, storeMillis));
        },
        300,
        TimeUnit.MILLISECONDS);
    nextCopy();
    long provenAtByStore = follower.proof().storeMillis() - storeOffset;
    assertTrue(
        follower.provenAtMillis() <= provenAtByStore,
        "proof dated " + (follower.provenAtMillis() - provenAtByStore) + " ms too late");
  }

  /** A relay that sends heartbeats but no changes must not keep a node from reading another one. */
  @Test
  public void changesAreReadFromAnotherRelayIfTheFirstOneFails() throws Exception {
    feed.scans.add(page(false, 5, row("a", "1", 1)));
    TableFollower follower = follow(false);
    nextCopy();
    TableProof proof = new TableProof("table", 7, 1_000);
    CompletableFuture<TablePeers.Response> unanswered = new CompletableFuture<>();
    peerResponses.add(unanswered);
    CompletableFuture<Boolean> first =
        eventLoop.submit(() -> follower.onProofAnnounced(RELAY, proof)).get();
    TableChanges changes = new TableChanges(false, 7, List.of(row("b", "2", 7)));
    peerResponses.add(
        CompletableFuture.completedFuture(new TablePeers.Response(changes, 1_100, 3)));
    InetSocketAddress other = new InetSocketAddress("127.0.0.1", 2);
    eventLoop.submit(() -> follower.onProofAnnounced(other, proof)).get();
    unanswered.completeExceptionally(new IllegalStateException("no reply"));
    assertFalse(first.get(10, TimeUnit.SECONDS));
    assertEquals(nextCopy(), Map.of("a", "1", "b", "2"));
    assertEquals(peerAddresses, List.of(RELAY, other));
  }
}
