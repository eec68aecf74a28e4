package org.lockdale.gateway.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.gateway.configuration.OperatorRecord;
import org.lockdale.gateway.table.SharedRecords;
import org.lockdale.gateway.table.TableRowChange;
import org.lockdale.gateway.weights.WeightsPolicy;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks when a node requires a target version, depending on when it could have been set. */
public final class OperatorControllerTest {

  private static final String MODEL = "model";
  private static final long START = 100_000;

  /** Longest time for which older weights may serve, in milliseconds; differs from the default. */
  private static final long BOUND = 10_000;

  /** Time in milliseconds after its start at which every time bound applies to a node. */
  private static final long CATCH_UP = 3_000;

  private final WeightsPolicy policy = new WeightsPolicy(BOUND);
  private GatewayBlackboard blackboard;
  private OperatorController controller;
  private long now;

  /** Reads rows whose key is a model and whose value is the target version of its weights. */
  private static final class WeightsRows implements SharedRecords {
    @Override
    public String operatorTable() {
      return "operators";
    }

    @Override
    public String backendTable() {
      return "backends";
    }

    @Override
    public Optional<OperatorRecord> operatorRecord(TableRowChange row) {
      long version = Long.parseLong(new String(row.value(), StandardCharsets.UTF_8));
      return Optional.of(new OperatorRecord.TargetVersionSet(row.key(), version));
    }

    @Override
    public Backend backend(TableRowChange row) {
      throw new IllegalArgumentException("the table holds no backends");
    }
  }

  private final class SteppedTime implements Time {
    @Override
    public long monotonicMillis() {
      return now;
    }

    @Override
    public long wallMillis() {
      return now;
    }
  }

  @BeforeMethod
  public void start() {
    now = START;
    blackboard = GatewayBlackboard.empty();
    controller =
        new OperatorController(
            blackboard,
            new WeightsRows(),
            new SteppedTime(),
            START,
            Duration.ofMillis(BOUND),
            Duration.ofMillis(CATCH_UP),
            () -> {});
  }

  private void read(long version) {
    byte[] value = Long.toString(version).getBytes(StandardCharsets.UTF_8);
    TableRowChange row = new TableRowChange(MODEL, value, version, false);
    controller.onTable(Map.of(MODEL, row), true, now);
  }

  private Long required() {
    return policy.requiredVersion(blackboard.weights().value(), MODEL, now);
  }

  /**
   * A restarted node reads which version is set, but not since when. From {@link #CATCH_UP} after
   * its start the bound applies to it, however long the bound is, so a version found at the start
   * must be required by then.
   */
  @Test
  public void aVersionFoundAtStartIsRequiredOnceTheBoundApplies() {
    read(2);
    now = START + CATCH_UP;
    assertEquals(required(), Long.valueOf(2));
  }

  @Test
  public void aVersionFoundAfterAnInterruptionIsRequiredOnceTheBoundAppliesAgain() {
    read(1);
    now += 60_000;
    read(2);
    now += CATCH_UP;
    assertEquals(required(), Long.valueOf(2));
  }

  @Test
  public void aVersionWhoseChangeANodeObservedIsRequiredShortlyBeforeTheBound() {
    read(1);
    now = START + 20_000;
    controller.onTable(Map.of(), false, now);
    now += 1_000;
    read(2);
    now += BOUND - 2_500;
    assertEquals(required(), Long.valueOf(1));
    now += 1_500;
    assertEquals(required(), Long.valueOf(2));
  }

  @Test
  public void noVersionIsRequiredBeforeOneIsSet() {
    assertNull(required());
  }
}
