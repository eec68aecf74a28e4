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
import org.lockdale.gateway.cluster.RecordedTargetVersions;
import org.lockdale.gateway.table.StoreClock;
import org.lockdale.gateway.weights.TargetWeights;
import org.lockdale.gateway.weights.WeightsPolicy;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A starting node learns from the record when target versions of weights were set. */
public final class TargetVersionRecorderTest {

  private static final String MODEL = "model";
  private static final long BOUND = 10_000;

  /** Milliseconds by which the clock of the node that starts later is ahead of the first one's. */
  private static final long CLOCK_OFFSET = 70_000;

  private final WeightsPolicy policy = new WeightsPolicy(BOUND);
  private RecordingTable table;
  private Node observer;
  private Node late;

  /** Collects the records that are written. */
  private static final class RecordingTable extends EmptyClusterTable {
    private final List<RecordedTargetVersions> written = new ArrayList<>();
    private boolean down;

    @Override
    public CompletableFuture<@Nullable Void> writeTargetVersions(RecordedTargetVersions weights) {
      if (down) {
        return CompletableFuture.failedFuture(
            new TableServiceException(TableServiceException.Kind.UNREACHABLE, "the store is down"));
      }
      written.add(weights);
      return super.writeTargetVersions(weights);
    }
  }

  /** A node with a separate clock. */
  private final class Node implements Time {
    private final long offset;
    private final Section<TargetWeights> weights = new Section<>(TargetWeights.NONE);
    private final StoreClock clock = new StoreClock();
    private final TargetVersionRecorder recorder;
    private boolean responsible = true;
    private long storeMillis;

    Node(long offset) {
      this.offset = offset;
      recorder =
          new TargetVersionRecorder(weights, table, clock, () -> responsible, Runnable::run, this);
      clock.observe(0, offset);
    }

    void at(long store) {
      storeMillis = store;
    }

    void publish(TargetWeights targets) {
      weights.publish(targets, monotonicMillis());
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
    observer = new Node(0);
    late = new Node(CLOCK_OFFSET);
    observer.at(2_000);
    observer.publish(TargetWeights.NONE.with(Map.of(MODEL, 2L), 2_000));
  }

  private void readRecordOnLateNode() {
    RecordedTargetVersions row = table.written.get(table.written.size() - 1);
    late.publish(late.weights.value().withObserved(MODEL, late.recorder.observe(row)));
  }

  @Test
  public void aNodeThatStartsLaterAgreesWithTheObserver() {
    observer.recorder.tick();
    late.at(12_000);
    late.publish(TargetWeights.NONE.withEstimate(Map.of(MODEL, 2L), late.monotonicMillis()));
    assertNull(late.required(), "from the estimate alone");
    readRecordOnLateNode();
    assertEquals(late.required(), Long.valueOf(2));
  }

  @Test
  public void theAgeOfARecordedVersionIsNotOverestimated() {
    observer.at(6_000);
    observer.publish(observer.weights.value().with(Map.of(MODEL, 3L), 6_000));
    observer.recorder.tick();
    late.at(12_500);
    late.publish(
        TargetWeights.NONE.withEstimate(Map.of(MODEL, 3L), late.monotonicMillis() - BOUND));
    assertEquals(late.required(), Long.valueOf(3), "from the estimate alone");
    readRecordOnLateNode();
    assertEquals(late.required(), Long.valueOf(2), "the newest is only 6.5 s old");
  }

  @Test
  public void eachVersionIsWrittenOnce() {
    observer.recorder.tick();
    observer.recorder.tick();
    assertEquals(table.written.size(), 1);
    observer.publish(observer.weights.value().with(Map.of(MODEL, 3L), 2_500));
    observer.recorder.tick();
    assertEquals(table.written.size(), 2);
    assertEquals(table.written.get(1).entries().size(), 2);
  }

  @Test
  public void failedWritesAreRetried() {
    table.down = true;
    observer.recorder.tick();
    assertEquals(table.written.size(), 0);
    table.down = false;
    observer.recorder.tick();
    assertEquals(table.written.size(), 0, "a failed write is not retried at once");
    observer.at(2_500);
    observer.recorder.tick();
    assertEquals(table.written.size(), 1);
  }

  @Test
  public void aTimeObservedByThisNodeTakesPrecedence() {
    late.publish(TargetWeights.NONE.with(Map.of(MODEL, 2L), CLOCK_OFFSET + 1_500));
    observer.recorder.tick();
    late.at(1_500 + BOUND - 600);
    readRecordOnLateNode();
    assertEquals(late.required(), Long.valueOf(2));
  }

  @Test
  public void aRecordedTimeInTheFutureIsLimitedToNow() {
    late.at(5_000);
    late.publish(TargetWeights.NONE.withEstimate(Map.of(MODEL, 2L), late.monotonicMillis()));
    RecordedTargetVersions row =
        new RecordedTargetVersions(MODEL, List.of(new RecordedTargetVersions.Entry(2, 900_000)));
    late.publish(late.weights.value().withObserved(MODEL, late.recorder.observe(row)));
    late.at(5_000 + BOUND);
    assertEquals(late.required(), Long.valueOf(2));
  }

  @Test
  public void anOlderRowThatArrivesLateCausesNoWrite() {
    observer.recorder.tick();
    RecordedTargetVersions first = table.written.get(0);
    observer.publish(observer.weights.value().with(Map.of(MODEL, 3L), 2_500));
    observer.recorder.tick();
    observer.recorder.observe(first);
    observer.recorder.tick();
    assertEquals(table.written.size(), 2);
  }

  @Test
  public void onlyTheResponsibleNodeWritesAndNoEstimates() {
    observer.responsible = false;
    observer.recorder.tick();
    late.publish(TargetWeights.NONE.withEstimate(Map.of(MODEL, 2L), 0));
    late.recorder.tick();
    assertEquals(table.written.size(), 0);
  }

  @Test
  public void anotherNodeContinuesFromTheRecord() {
    observer.recorder.tick();
    readRecordOnLateNode();
    late.recorder.tick();
    assertEquals(table.written.size(), 1, "recorded versions are not written again");
    late.publish(late.weights.value().with(Map.of(MODEL, 3L), CLOCK_OFFSET + 9_000));
    late.recorder.tick();
    assertEquals(table.written.get(1).entries().size(), 2);
    assertEquals(table.written.get(1).entries().get(0).notBeforeStoreMillis(), 2_000);
  }

  /**
   * Two versions were set seconds apart, and no node observed the first, as after a restart of all
   * nodes or an outage of the store. A node that starts later reads only the second in the
   * operators' table. The record of the second says nothing about earlier versions, so the node
   * must not discard its estimate, which also covers those.
   */
  @Test
  public void aRecordOfTheNewestVersionDoesNotMakeOlderOnesAppearNewer() {
    observer.publish(TargetWeights.NONE.withEstimate(Map.of(MODEL, 2L), 2_000 - BOUND));
    observer.at(7_000);
    observer.publish(observer.weights.value().with(Map.of(MODEL, 3L), 6_900));
    observer.recorder.tick();
    late.at(13_000);
    late.publish(
        TargetWeights.NONE.withEstimate(Map.of(MODEL, 3L), late.monotonicMillis() - BOUND));
    assertEquals(late.required(), Long.valueOf(3), "from the estimate alone");
    readRecordOnLateNode();
    Long required = late.required();
    assertTrue(
        required != null && required >= 2,
        "version 2 was set 11 s ago and the bound is 10 s, but the oldest allowed is " + required);
  }
}
