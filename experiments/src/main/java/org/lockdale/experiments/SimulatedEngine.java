package org.lockdale.experiments;

import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.lockdale.coordination.placement.PrefixChain;
import org.lockdale.coordination.placement.Rendezvous;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.emulator.engine.BlockHolderCounts;
import org.lockdale.emulator.engine.EngineModel;
import org.lockdale.emulator.engine.EngineOutput;
import org.lockdale.emulator.engine.EngineRequest;
import org.lockdale.emulator.engine.EngineSettings;
import org.lockdale.emulator.engine.LoadReport;
import org.lockdale.emulator.engine.RunRecord;
import org.lockdale.emulator.engine.SubmitResult;

/** A stand-in engine on the virtual clock. */
final class SimulatedEngine {

  /** Is notified of every attempt that runs. */
  interface Ledger {
    void onRun(RunRecord run);
  }

  private final VirtualTime time;
  private final EngineSettings settings;
  private final EngineModel model;
  private final long identity;
  private boolean stepping;

  SimulatedEngine(
      EngineSettings settings,
      VirtualTime time,
      UniformRandomProvider random,
      Ledger ledger,
      BlockHolderCounts blockHolders) {
    this.time = time;
    this.settings = settings;
    this.identity = Rendezvous.identityOf(settings.id());
    this.model =
        new EngineModel(
            settings, settings.id() + "-1", random, time::nowMicros, ledger::onRun, blockHolders);
  }

  static EngineSettings settings(String id, String zone, int cacheBlocks) {
    return EngineSettings.standard(id, zone, Map.of(), Map.of("model", "v1"))
        .withCacheBlocks(cacheBlocks);
  }

  String id() {
    return settings.id();
  }

  String zone() {
    return settings.zone();
  }

  long identity() {
    return identity;
  }

  String incarnation() {
    return model.incarnation();
  }

  LoadReport report() {
    return model.loadReport();
  }

  /** Returns the number of a chain's blocks in the actual cache; only the oracle may read it. */
  int actualCachedBlocks(PrefixChain chain) {
    return model.cachedPrefixLength(chain);
  }

  /** Returns the prompt tokens actually left to compute; only the oracle may read it. */
  long actualPendingTokens() {
    return model.pendingPromptTokens();
  }

  /** Returns the sequences actually running or queued; only the oracle may read it. */
  int actualActiveAttempts() {
    return model.activeAttempts();
  }

  int maxRunning() {
    return settings.maxRunning();
  }

  boolean submit(EngineRequest request, EngineOutput output) {
    boolean accepted = model.submit(request, output) == SubmitResult.ACCEPTED;
    if (accepted && !stepping) {
      step();
    }
    return accepted;
  }

  private void step() {
    long micros = model.startStep();
    stepping = micros >= 0;
    if (stepping) {
      time.schedule(
          micros,
          () -> {
            model.completeStep();
            step();
          });
    }
  }
}
