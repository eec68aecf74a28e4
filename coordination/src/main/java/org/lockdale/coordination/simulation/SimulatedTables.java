package org.lockdale.coordination.simulation;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.lockdale.coordination.table.InMemoryTables;
import org.lockdale.coordination.table.TableRow;
import org.lockdale.coordination.table.TableService;
import org.lockdale.coordination.table.TableServiceException;
import org.lockdale.coordination.table.TableServiceException.Kind;

/**
 * A table service on a virtual clock. Calls take effect after a delay, some of them long after the
 * timeout of the caller; some replies are lost, and some calls do not reach the service.
 */
public final class SimulatedTables implements TableService {

  private static final long TIMEOUT_MICROS = 500_000;
  private static final long NORMAL_DELAY_MICROS = 5_000;
  private static final long LATE_DELAY_MICROS = 3_000_000;
  private static final int PER_MILLE = 1_000;

  private final VirtualTime time;
  private final UniformRandomProvider random;
  private final InMemoryTables tables = new InMemoryTables();
  private int faultPerMille;

  /** Creates empty tables without faults. */
  public SimulatedTables(VirtualTime time, UniformRandomProvider random) {
    this.time = time;
    this.random = random;
  }

  /** Sets the probability of each kind of fault for a call, per mille. */
  public void setFaultPerMille(int perMille) {
    faultPerMille = perMille;
  }

  @Override
  public CompletableFuture<Optional<TableRow>> read(String table, String key) {
    return call(() -> Optional.of(tables.read(table, key)));
  }

  @Override
  public CompletableFuture<TableRow> create(String table, String key, byte[] value) {
    return call(() -> tables.create(table, key, value));
  }

  @Override
  public CompletableFuture<TableRow> replace(
      String table, String key, byte[] value, long expectedVersion) {
    return call(() -> tables.replace(table, key, value, expectedVersion));
  }

  private boolean drawFault() {
    return random.nextInt(PER_MILLE) < faultPerMille;
  }

  private <T> CompletableFuture<T> call(Supplier<Optional<T>> operation) {
    CompletableFuture<T> reply = new CompletableFuture<>();
    if (drawFault()) {
      fail(reply, NORMAL_DELAY_MICROS, Kind.UNREACHABLE);
      return reply;
    }
    boolean late = drawFault();
    boolean replyLost = drawFault();
    long effectDelay = 1 + random.nextLong(late ? LATE_DELAY_MICROS : NORMAL_DELAY_MICROS);
    long replyDelay = 1 + random.nextLong(NORMAL_DELAY_MICROS);
    time.schedule(
        effectDelay,
        () -> {
          Optional<T> result = operation.get();
          if (!replyLost) {
            time.schedule(replyDelay, () -> completeReply(reply, result));
          }
        });
    fail(reply, TIMEOUT_MICROS, Kind.OUTCOME_UNKNOWN);
    return reply;
  }

  private static <T> void completeReply(CompletableFuture<T> reply, Optional<T> result) {
    if (result.isPresent()) {
      reply.complete(result.get());
    } else {
      reply.completeExceptionally(
          new TableServiceException(Kind.CONDITION_FAILED, "simulated condition failed"));
    }
  }

  private void fail(CompletableFuture<?> reply, long delayMicros, Kind kind) {
    time.schedule(
        delayMicros,
        () -> reply.completeExceptionally(new TableServiceException(kind, "simulated " + kind)));
  }
}
