package org.lockdale.gateway.table;

import static org.testng.Assert.assertEquals;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.gateway.quarantine.VirtualExecutor;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A node reads the changes that it lacks from a node that is known to have them. */
public final class LackingChangesTest {

  private static final InetSocketAddress RELAY = new InetSocketAddress("127.0.0.1", 1);
  private static final InetSocketAddress PEER = new InetSocketAddress("127.0.0.1", 2);
  private static final String TABLE = "operators";
  private static final long FIRST = 5;
  private static final long NEWER = 7;

  /** A store that has the first change only and holds all further calls. */
  private static final class Store implements TableFeed {

    @Override
    public CompletableFuture<TablePage> scan(String table, @Nullable String fromKey) {
      return CompletableFuture.completedFuture(
          new TablePage(List.of(row("old", FIRST)), false, FIRST, 0));
    }

    @Override
    public CompletableFuture<TablePage> changes(String table, long afterVersion, Duration wait) {
      return new CompletableFuture<>();
    }
  }

  private final Map<InetSocketAddress, CompletableFuture<TablePeers.Response>> responses =
      new HashMap<>();
  private final List<InetSocketAddress> calls = new ArrayList<>();
  private VirtualTime time;
  private TableFollower follower;
  private Set<String> keys;

  @BeforeMethod
  public void start() {
    responses.clear();
    calls.clear();
    time = new VirtualTime();
    follower =
        new TableFollower(
            new VirtualExecutor(time),
            new TableFollower.Sources(
                new Store(),
                (peer, table, afterChange) -> {
                  calls.add(peer);
                  return responses.computeIfAbsent(peer, key -> new CompletableFuture<>());
                },
                new StoreClock()),
            new TableFollower.Plan(TABLE, Duration.ofSeconds(1), Duration.ZERO, Duration.ofDays(1)),
            time,
            (rows, changed, provenAt) -> keys = Set.copyOf(rows.keySet()));
    follower.start();
    time.runMillis(1);
  }

  private static TableRowChange row(String key, long version) {
    return new TableRowChange(key, key.getBytes(StandardCharsets.UTF_8), version, false);
  }

  private static CompletableFuture<TablePeers.Response> newerCopy() {
    TableChanges changes = new TableChanges(false, NEWER, List.of(row("new", NEWER)));
    return CompletableFuture.completedFuture(new TablePeers.Response(changes, 0, 0));
  }

  @Test
  public void changesAreReadAlthoughARelayDoesNotRespond() {
    follower.onProofAnnounced(RELAY, new TableProof(TABLE, NEWER, 0));
    responses.put(PEER, newerCopy());
    follower.readMissingChanges(PEER);
    time.runMillis(1);
    assertEquals(calls, List.of(RELAY, PEER));
    assertEquals(keys, Set.of("old", "new"));
  }

  @Test
  public void aSecondReadBeginsOnlyAfterTheFirstOne() {
    follower.readMissingChanges(PEER);
    follower.readMissingChanges(PEER);
    time.runMillis(1);
    assertEquals(calls, List.of(PEER));
    responses.get(PEER).completeExceptionally(new IllegalStateException("no reply"));
    time.runMillis(1);
    responses.put(PEER, newerCopy());
    follower.readMissingChanges(PEER);
    time.runMillis(1);
    assertEquals(calls, List.of(PEER, PEER));
    assertEquals(keys, Set.of("old", "new"));
  }
}
