package org.lockdale.soak.run;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.lockdale.soak.judge.Note;
import org.lockdale.soak.judge.SoftwareVersions;
import org.lockdale.soak.plan.Fault;
import org.lockdale.soak.standin.ServerBase;

/** Restarts servers, and shuts servers down as planned and starts others in their place. */
final class ServerReplacements {

  /** Time for which a draining server still serves; exceeds the bound {@code drainMillis}. */
  private static final long DRAIN_MILLIS = 3_200;

  private static final int RESTARTS_PER_NEW_ID = 3;

  private final Processes processes;
  private final Operator operator;
  private final NoteLog notes;
  private final AtomicInteger restarts = new AtomicInteger();

  ServerReplacements(Processes processes, Operator operator, NoteLog notes) {
    this.processes = processes;
    this.operator = operator;
    this.notes = notes;
  }

  /** Starts a server that has exited; every third one gets a new id, as a replacement does. */
  void restart(String name) throws IOException {
    if (restarts.incrementAndGet() % RESTARTS_PER_NEW_ID == 0) {
      restartWithNewId(name);
    } else {
      processes.restartServer(name);
    }
  }

  private void restartWithNewId(String name) throws IOException {
    removeRecord(name);
    processes.startServer(name, operator.targetVersion());
  }

  private void removeRecord(String name) {
    Processes.Server exited = processes.servers().get(name);
    recordLeavingAcknowledged(exited.instance(), processes.store().remove("servers", exited.id()));
  }

  /** Replaces a server by another one of any software version. */
  void replace(Fault.ServerReplaced replaced) throws IOException, InterruptedException {
    killAfterDraining(drain(replaced.server(), replaced.announced()));
    restartWithNewId(replaced.server());
  }

  /** Returns whether an engine runs another software version than the released one. */
  boolean isDue(Fault.SoftwareReleased release) {
    String version = SoftwareVersions.named(release.newer());
    return !SoftwareVersions.of(processes.servers().get(release.engine()).id()).equals(version);
  }

  /** Replaces an engine by one of the released software version. */
  void release(Fault.SoftwareReleased release) throws IOException, InterruptedException {
    killAfterDraining(drain(release.engine(), release.announced()));
    removeRecord(release.engine());
    processes.startServer(
        release.engine(), operator.targetVersion(), SoftwareVersions.named(release.newer()));
  }

  /** Lets a server announce everywhere that it is draining, and returns it. */
  private Processes.Server drain(String name, boolean announced) throws IOException {
    Processes.Server draining = processes.servers().get(name);
    announceDraining(draining.process());
    recordLeavingAcknowledged(draining.instance(), processes.withdraw(name, announced));
    return draining;
  }

  /**
   * Lets a server announce in its responses that it is draining, before its record in the store
   * does.
   */
  void drainBeforeRecorded(Fault.LeavingSaid announcement)
      throws IOException, InterruptedException {
    Processes.Server draining = processes.servers().get(announcement.server());
    announceDraining(draining.process());
    Thread.sleep(announcement.unrecordedMillis());
    recordLeavingAcknowledged(draining.instance(), processes.withdraw(announcement.server(), true));
    killAfterDraining(draining);
    restartWithNewId(announcement.server());
  }

  private static void announceDraining(ManagedProcess server) throws IOException {
    if (!server.hasExited()) {
      server.send(ServerBase.LEAVING_COMMAND);
    }
  }

  private static void killAfterDraining(Processes.Server draining)
      throws IOException, InterruptedException {
    Thread.sleep(DRAIN_MILLIS);
    draining.process().signal("KILL");
    draining.process().awaitExitOrKill(FaultInjector.GRACE_MILLIS);
  }

  private void recordLeavingAcknowledged(String instance, CompletableFuture<Long> acknowledged) {
    acknowledged.thenAccept(at -> notes.add(new Note.LeavingAcknowledged(at, instance)));
  }
}
