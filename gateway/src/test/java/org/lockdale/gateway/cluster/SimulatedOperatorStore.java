package org.lockdale.gateway.cluster;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.gateway.table.TablePage;
import org.lockdale.gateway.table.TableRowChange;

/**
 * A simulated store whose operator replaces one row, the configuration. Other tables are empty. It
 * holds polls like the real store; links and failures are simulated by its callers.
 */
final class SimulatedOperatorStore {

  static final String OPERATORS = "operators";
  private static final String KEY = "configuration";

  /** Offset of the store's clock from the simulated time, an arbitrary constant. */
  private static final long CLOCK_OFFSET_MILLIS = 77_000_000;

  private record Poll(long afterVersion, CompletableFuture<TablePage> response) {}

  private final VirtualTime time;
  private final Map<Long, Long> acknowledgedAtMillis = new TreeMap<>();
  private final List<Poll> polls = new ArrayList<>();
  private long version = 1;
  private long calls;

  SimulatedOperatorStore(VirtualTime time) {
    this.time = time;
    acknowledgedAtMillis.put(version, time.monotonicMillis());
  }

  /** Replaces the configuration and acknowledges it. */
  void replaceConfiguration() {
    version++;
    acknowledgedAtMillis.put(version, time.monotonicMillis());
    List<Poll> due = new ArrayList<>(polls);
    polls.clear();
    due.forEach(poll -> poll.response().complete(page(poll.afterVersion())));
  }

  /** Returns the time of the acknowledgement of each version. */
  Map<Long, Long> acknowledgedAtMillis() {
    return acknowledgedAtMillis;
  }

  /** Returns the number of calls so far. */
  long calls() {
    return calls;
  }

  CompletableFuture<TablePage> scan(String table) {
    calls++;
    return CompletableFuture.completedFuture(table.equals(OPERATORS) ? page(0) : emptyPage());
  }

  CompletableFuture<TablePage> changes(String table, long afterVersion, Duration wait) {
    calls++;
    boolean operators = table.equals(OPERATORS);
    if (operators && afterVersion < version) {
      return CompletableFuture.completedFuture(page(afterVersion));
    }
    CompletableFuture<TablePage> response = new CompletableFuture<>();
    if (operators) {
      polls.add(new Poll(afterVersion, response));
    }
    time.schedule(
        TimeUnit.MILLISECONDS.toMicros(wait.toMillis()), () -> response.complete(emptyPage()));
    return response;
  }

  private TablePage page(long afterVersion) {
    byte[] value = Long.toString(version).getBytes(StandardCharsets.UTF_8);
    TableRowChange row = new TableRowChange(KEY, value, version, false);
    return new TablePage(
        afterVersion < version ? List.of(row) : List.of(), false, version, clockMillis());
  }

  private TablePage emptyPage() {
    return new TablePage(List.of(), false, version, clockMillis());
  }

  private long clockMillis() {
    return time.monotonicMillis() + CLOCK_OFFSET_MILLIS;
  }

  /** Returns the version of the configuration in a copy of the operators' table, or 0. */
  static long versionIn(Map<String, TableRowChange> rows) {
    TableRowChange row = rows.get(KEY);
    return row == null ? 0 : row.version();
  }
}
