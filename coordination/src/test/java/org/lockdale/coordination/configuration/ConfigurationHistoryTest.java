package org.lockdale.coordination.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.lockdale.coordination.simulation.SimulatedTables;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.protocol.generated.ConfigurationChange;
import org.lockdale.protocol.generated.ConfigurationTransfer;
import org.lockdale.protocol.generated.ResourceRecord;
import org.testng.annotations.Test;

/**
 * Tests concurrent edits of several operators on a table service with lost replies and late
 * effects.
 */
public final class ConfigurationHistoryTest {

  private static final int SEEDS = 300;
  private static final int OPERATORS = 5;
  private static final int EDITS_EACH = 8;
  private static final int FAULT_PER_MILLE = 100;

  /** An operator that repeatedly reads the configuration and proposes an edit of it. */
  private static final class Operator {
    final String name;
    final ConfigurationHistory history;
    final ConfigurationReplica replica = new ConfigurationReplica();
    final VirtualTime time;
    final Map<Long, String> accepted;
    int conflicts;
    int editsLeft = EDITS_EACH;

    Operator(
        String name, ConfigurationHistory history, VirtualTime time, Map<Long, String> accepted) {
      this.name = name;
      this.history = history;
      this.time = time;
      this.accepted = accepted;
    }

    void edit() {
      if (editsLeft == 0) {
        return;
      }
      history
          .readAfter(replica.version())
          .whenComplete(
              (transfer, failure) -> {
                if (failure == null) {
                  replica.apply(transfer);
                  propose();
                } else {
                  scheduleEdit();
                }
              });
    }

    void propose() {
      editsLeft--;
      long version = replica.version() + 1;
      String id = name + "-" + editsLeft;
      ResourceRecord resource =
          new ResourceRecord("Tenant", name, ByteBuffer.wrap(id.getBytes(StandardCharsets.UTF_8)));
      history
          .propose(new ConfigurationChange(version, id, name, 0L, List.of(resource)))
          .whenComplete(
              (change, failure) -> {
                if (failure == null) {
                  String other = accepted.put(version, id);
                  assertEquals(other, null, "version " + version + " was accepted twice");
                } else if (failure.getCause() instanceof ConfigurationConflictException conflict) {
                  conflicts++;
                  assertTrue(conflict.acceptedVersion() >= version);
                }
                scheduleEdit();
              });
    }

    void scheduleEdit() {
      time.schedule(20_000, this::edit);
    }
  }

  /**
   * Each version is accepted at most once, and all accepted versions are in the history, without
   * gaps.
   */
  @Test
  public void racingEditsAreAcceptedOneByOne() {
    int conflicts = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      VirtualTime time = new VirtualTime();
      UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
      SimulatedTables tables = new SimulatedTables(time, random);
      tables.setFaultPerMille(FAULT_PER_MILLE);
      ConfigurationHistory history = new ConfigurationHistory(tables);
      Map<Long, String> accepted = new HashMap<>();
      List<Operator> operators = new ArrayList<>();
      for (int index = 0; index < OPERATORS; index++) {
        operators.add(new Operator("operator-" + index, history, time, accepted));
      }
      operators.forEach(Operator::edit);
      time.runMillis(600_000);
      tables.setFaultPerMille(0);
      ConfigurationReplica reader = new ConfigurationReplica();
      history.readAfter(0).thenAccept(reader::apply);
      time.runMillis(10_000);
      long newest = reader.version();
      // The history may also contain edits whose operator received no reply.
      for (long version : accepted.keySet()) {
        assertTrue(version <= newest, "seed " + seed + ": " + version + " after " + newest);
      }
      assertTrue(newest >= accepted.size());
      conflicts += operators.stream().mapToInt(operator -> operator.conflicts).sum();
    }
    assertTrue(conflicts > 0, "no race ever happened");
  }

  private static ConfigurationChange change(long version, String name, String document) {
    ResourceRecord resource =
        new ResourceRecord(
            "Tenant", name, ByteBuffer.wrap(document.getBytes(StandardCharsets.UTF_8)));
    return new ConfigurationChange(version, "id-" + version, "test", 0L, List.of(resource));
  }

  /** The version of a replica never decreases, regardless of the order of transfers. */
  @Test
  public void aReplicaNeverGoesBack() {
    ConfigurationReplica source = new ConfigurationReplica();
    ConfigurationReplica replica = new ConfigurationReplica();
    List<ConfigurationTransfer> transfers = new ArrayList<>();
    for (long version = 1; version <= 30; version++) {
      source.apply(
          new ConfigurationTransfer(
              null, List.of(change(version, "t" + version % 3, "v" + version))));
      transfers.add(source.transferAfter(Math.max(0, version - 3)));
      transfers.add(new ConfigurationTransfer(source.state().toSnapshot(), List.of()));
    }
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1);
    long before = 0;
    for (int step = 0; step < 500; step++) {
      replica.apply(transfers.get(random.nextInt(transfers.size())));
      assertTrue(replica.version() >= before);
      before = replica.version();
    }
    transfers.forEach(replica::apply);
    assertEquals(replica.version(), 30);
    assertEquals(
        replica.state().toSnapshot().getResources(), source.state().toSnapshot().getResources());
  }

  /** A deleted resource is removed from the state. */
  @Test
  public void deletionsAreKept() {
    ConfigurationReplica replica = new ConfigurationReplica();
    replica.apply(new ConfigurationTransfer(null, List.of(change(1, "a", "x"))));
    replica.apply(new ConfigurationTransfer(null, List.of(change(2, "a", ""))));
    assertTrue(replica.state().resources().isEmpty());
    assertEquals(replica.version(), 2);
  }
}
