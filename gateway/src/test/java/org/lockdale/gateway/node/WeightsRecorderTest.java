package org.lockdale.gateway.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.coordination.table.TableServiceException;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.cluster.EmptyClusterTable;
import org.lockdale.gateway.cluster.RecordedWeights;
import org.lockdale.gateway.table.StoreClock;
import org.lockdale.gateway.weights.NamedWeights;
import org.lockdale.gateway.weights.WeightsPolicy;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A node that starts knows from the record when weights were named. */
public final class WeightsRecorderTest {

  private static final String MODEL = "model";
  private static final long BOUND = 10_000;

  /** How far the clock of the node that starts later is ahead of the other's. */
  private static final long CLOCK_OFFSET = 70_000;

  private final WeightsPolicy policy = new WeightsPolicy(BOUND);
  private RecordingTable table;
  private Node witness;
  private Node late;

  /** Keeps what was recorded last. */
  private static final class RecordingTable extends EmptyClusterTable {
    private final List<RecordedWeights> written = new ArrayList<>();
    private boolean down;

    @Override
    public CompletableFuture<@Nullable Void> record(RecordedWeights weights) {
      if (down) {
        return CompletableFuture.failedFuture(
            new TableServiceException(TableServiceException.Kind.UNREACHABLE, "it is down"));
      }
      written.add(weights);
      return super.record(weights);
    }
  }

  /** One node with a clock of its own. */
  private final class Node implements Time {
    private final long offset;
    private final Section<NamedWeights> weights = new Section<>(NamedWeights.NONE);
    private final StoreClock clock = new StoreClock();
    private final WeightsRecorder recorder;
    private boolean responsible = true;
    private long storeMillis;

    Node(long offset) {
      this.offset = offset;
      recorder = new WeightsRecorder(weights, table, clock, () -> responsible, Runnable::run, this);
      clock.observed(0, offset);
    }

    void at(long store) {
      storeMillis = store;
    }

    void publish(NamedWeights named) {
      weights.publish(named, monotonicMillis());
    }

    @Nullable Long required() {
      return policy.requiredVersion(weights.value(), MODEL, monotonicMillis());
    }

    @Override
    public long monotonicMillis() {
      return storeMillis + offset;
    }

    @Override
    public long wallMillis() {
      return monotonicMillis();
    }
  }

  @BeforeMethod
  public void start() {
    table = new RecordingTable();
    witness = new Node(0);
    late = new Node(CLOCK_OFFSET);
    witness.at(2_000);
    witness.publish(NamedWeights.NONE.with(Map.of(MODEL, 2L), 2_000));
  }

  private void readByLateNode() {
    RecordedWeights row = table.written.get(table.written.size() - 1);
    late.publish(late.weights.value().withWitnessed(MODEL, late.recorder.observed(row)));
  }

  @Test
  public void aNodeThatStartsLaterAgreesWithTheWitness() {
    witness.recorder.tick();
    late.at(12_000);
    late.publish(NamedWeights.NONE.withEstimate(Map.of(MODEL, 2L), late.monotonicMillis()));
    assertNull(late.required(), "by its estimate alone");
    readByLateNode();
    assertEquals(late.required(), Long.valueOf(2));
  }

  @Test
  public void aVersionThatTheRecordKnowsIsNotTakenForOlderThanItIs() {
    witness.at(6_000);
    witness.publish(witness.weights.value().with(Map.of(MODEL, 3L), 6_000));
    witness.recorder.tick();
    late.at(12_500);
    late.publish(NamedWeights.NONE.withEstimate(Map.of(MODEL, 3L), late.monotonicMillis() - BOUND));
    assertEquals(late.required(), Long.valueOf(3), "by its estimate alone");
    readByLateNode();
    assertEquals(late.required(), Long.valueOf(2), "the newest is only 6.5 s old");
  }

  @Test
  public void eachVersionIsWrittenOnce() {
    witness.recorder.tick();
    witness.recorder.tick();
    assertEquals(table.written.size(), 1);
    witness.publish(witness.weights.value().with(Map.of(MODEL, 3L), 2_500));
    witness.recorder.tick();
    assertEquals(table.written.size(), 2);
    assertEquals(table.written.get(1).namings().size(), 2);
  }

  @Test
  public void whatCouldNotBeWrittenIsWrittenLater() {
    table.down = true;
    witness.recorder.tick();
    assertEquals(table.written.size(), 0);
    table.down = false;
    witness.recorder.tick();
    assertEquals(table.written.size(), 0, "it is left in peace for a moment");
    witness.at(2_500);
    witness.recorder.tick();
    assertEquals(table.written.size(), 1);
  }

  @Test
  public void whatThisNodeWitnessedItselfStands() {
    late.publish(NamedWeights.NONE.with(Map.of(MODEL, 2L), CLOCK_OFFSET + 1_500));
    witness.recorder.tick();
    late.at(1_500 + BOUND - 600);
    readByLateNode();
    assertEquals(late.required(), Long.valueOf(2));
  }

  @Test
  public void aRecordFromTheFutureCountsFromNow() {
    late.at(5_000);
    late.publish(NamedWeights.NONE.withEstimate(Map.of(MODEL, 2L), late.monotonicMillis()));
    RecordedWeights row =
        new RecordedWeights(MODEL, List.of(new RecordedWeights.Naming(2, 900_000)));
    late.publish(late.weights.value().withWitnessed(MODEL, late.recorder.observed(row)));
    late.at(5_000 + BOUND);
    assertEquals(late.required(), Long.valueOf(2));
  }

  @Test
  public void anOlderRowThatComesLateDoesNotMakeItWriteAgain() {
    witness.recorder.tick();
    RecordedWeights first = table.written.get(0);
    witness.publish(witness.weights.value().with(Map.of(MODEL, 3L), 2_500));
    witness.recorder.tick();
    witness.recorder.observed(first);
    witness.recorder.tick();
    assertEquals(table.written.size(), 2);
  }

  @Test
  public void onlyTheResponsibleNodeWritesAndNeverAnEstimate() {
    witness.responsible = false;
    witness.recorder.tick();
    late.publish(NamedWeights.NONE.withEstimate(Map.of(MODEL, 2L), 0));
    late.recorder.tick();
    assertEquals(table.written.size(), 0);
  }

  @Test
  public void anotherNodeGoesOnWhereTheFirstStopped() {
    witness.recorder.tick();
    readByLateNode();
    late.recorder.tick();
    assertEquals(table.written.size(), 1, "what the record holds is not written again");
    late.publish(late.weights.value().with(Map.of(MODEL, 3L), CLOCK_OFFSET + 9_000));
    late.recorder.tick();
    assertEquals(table.written.get(1).namings().size(), 2);
    assertEquals(table.written.get(1).namings().get(0).notBeforeStoreMillis(), 2_000);
  }

  /**
   * Two versions were named seconds apart, and no node witnessed the first, as after a restart of
   * all nodes or an outage of the store. A node that starts later reads only the second in the
   * operators' table. What is recorded of the second tells nothing of versions before it, so the
   * node must not give up its estimate, which stood for those as well.
   */
  @Test
  public void aRecordOfTheNewestVersionDoesNotMakeOlderOnesYoung() {
    witness.publish(NamedWeights.NONE.withEstimate(Map.of(MODEL, 2L), 2_000 - BOUND));
    witness.at(7_000);
    witness.publish(witness.weights.value().with(Map.of(MODEL, 3L), 6_900));
    witness.recorder.tick();
    late.at(13_000);
    late.publish(NamedWeights.NONE.withEstimate(Map.of(MODEL, 3L), late.monotonicMillis() - BOUND));
    assertEquals(late.required(), Long.valueOf(3), "by its estimate alone");
    readByLateNode();
    Long required = late.required();
    assertTrue(
        required != null && required >= 2,
        "version 2 was named 11 s ago and the bound is 10 s, but the oldest allowed is "
            + required);
  }
}
