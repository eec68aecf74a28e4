package org.lockdale.gateway.table;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.coordination.table.TableServiceException;
import org.lockdale.gateway.quarantine.VirtualExecutor;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks that a node without relays reads all its tables itself, in simulated time. */
public final class CompanionReadsTest {

  private static final InetSocketAddress RELAY = new InetSocketAddress("127.0.0.1", 1);
  private static final Duration MAX_PROOF_AGE = Duration.ofMillis(1_500);
  private static final long WAIT_MILLIS = 600;

  /** A store without changes, which may reject all polls. */
  private final class Store implements TableFeed {
    final Map<String, Integer> polls = new HashMap<>();
    boolean rejects;

    @Override
    public CompletableFuture<TablePage> scan(String table, @Nullable String fromKey) {
      return CompletableFuture.completedFuture(page());
    }

    @Override
    public CompletableFuture<TablePage> changes(String table, long afterVersion, Duration wait) {
      polls.merge(table, 1, Integer::sum);
      if (rejects) {
        return CompletableFuture.failedFuture(
            new TableServiceException(TableServiceException.Kind.UNREACHABLE, "simulated"));
      }
      CompletableFuture<TablePage> response = new CompletableFuture<>();
      time.schedule(wait.toMillis() * 1_000, () -> response.complete(page()));
      return response;
    }

    private TablePage page() {
      return new TablePage(List.of(), false, 1, time.monotonicMillis());
    }
  }

  private VirtualTime time;
  private Store store;
  private TableFollower operators;

  @BeforeMethod
  public void start() {
    time = new VirtualTime();
    store = new Store();
    operators = follower("operators", MAX_PROOF_AGE);
    TableFollower backends = follower("backends", Duration.ofDays(1));
    operators.setCompanions(List.of(backends));
    operators.start();
    backends.start();
  }

  private TableFollower follower(String table, Duration maxProofAge) {
    return new TableFollower(
        new VirtualExecutor(time),
        new TableFollower.Sources(
            store,
            (peer, name, after) -> CompletableFuture.failedFuture(new IllegalStateException()),
            new StoreClock()),
        new TableFollower.Plan(table, Duration.ofMillis(WAIT_MILLIS), Duration.ZERO, maxProofAge),
        time,
        (rows, changed, provenAt) -> {});
  }

  private int polls(String table) {
    return store.polls.getOrDefault(table, 0);
  }

  @Test
  public void allTablesAreReadSoonAfterTheLastProofOfARelay() {
    time.runMillis(MAX_PROOF_AGE.toMillis() - 1);
    assertEquals(store.polls, Map.of(), "no call while the copy is young");
    time.runMillis(WAIT_MILLIS);
    assertTrue(polls("operators") > 0);
    assertTrue(polls("backends") > 0);
  }

  /** During an outage of the store all nodes fail, so that each makes few calls. */
  @Test
  public void otherTablesAreNotReadWhileTheStoreFails() {
    store.rejects = true;
    time.runMillis(7_000);
    assertEquals(polls("backends"), 0);
    assertTrue(polls("operators") <= 7, polls("operators") + " calls in 5.5 s");
  }

  @Test
  public void directReadsEndOnceARelayProvesTheCopies() {
    time.runMillis(3_000);
    long provenMillis = time.monotonicMillis();
    operators.onProofAnnounced(RELAY, new TableProof("operators", 0, provenMillis));
    time.runMillis(WAIT_MILLIS);
    int before = polls("operators");
    time.runMillis(MAX_PROOF_AGE.toMillis() - 2 * WAIT_MILLIS);
    assertEquals(polls("operators"), before);
  }
}
