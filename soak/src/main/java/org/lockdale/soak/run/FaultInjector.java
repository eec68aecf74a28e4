package org.lockdale.soak.run;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.lockdale.soak.judge.History;
import org.lockdale.soak.plan.Deployment;
import org.lockdale.soak.plan.Fault;
import org.lockdale.soak.plan.Fault.ProcessTrouble;
import org.lockdale.soak.plan.Fault.StoreTrouble;
import org.lockdale.soak.standin.ServerBase;
import org.lockdale.soak.standin.StandInProcess;
import org.lockdale.soak.standin.StandardStreams;
import org.tinylog.Logger;

/** Injects the faults of a plan and records which processes and links they disrupt. */
final class FaultInjector implements Closeable {

  /** Time from SIGTERM to SIGKILL; also the grace period in the settings of the nodes. */
  static final long GRACE_MILLIS = 8_000;

  /** Time until a server that a request crashed is started again. */
  private static final long SERVER_RESTART_DELAY_MILLIS = 2_000;

  /** Heartbeats that a server may miss before its entry is removed from the store. */
  private static final int MAX_MISSED_HEARTBEATS = 3;

  /** Pause of a process that is shutting down; shorter than its grace period. */
  private static final long SHORT_PAUSE_MILLIS = 700;

  /** Time from the start of a refusal of nodes until the first key is replaced. */
  private static final long KEY_DELAY_MILLIS = 100;

  private static final int THREADS = 32;

  private final Processes processes;
  private final Operator operator;
  private final NoteLog notes;
  private final ServerReplacements replacements;
  private final List<String> nodes;
  private final List<String> engines;
  private final Map<String, ProcessTrouble> outages = new ConcurrentHashMap<>();
  private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(THREADS);

  FaultInjector(Processes processes, Operator operator, NoteLog notes, Deployment deployment) {
    this.processes = processes;
    this.operator = operator;
    this.notes = notes;
    this.replacements = new ServerReplacements(processes, operator, notes);
    this.nodes = deployment.nodeNames();
    this.engines = deployment.engineNames();
    executor.scheduleWithFixedDelay(
        () -> {
          removeSilentServers();
          restartExitedProcesses();
        },
        0,
        StandInProcess.HEARTBEAT_MILLIS / 4,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Restarts processes whose exit was expected and which no outage restarts, as the platform does.
   */
  private void restartExitedProcesses() {
    for (String node : nodes) {
      ManagedProcess process = processes.process(node);
      if (process.hasExited() && !process.exitedUnexpectedly() && !outages.containsKey(node)) {
        inject(new Fault.OnProcess(node, ProcessTrouble.KILLED, 1));
      }
    }
    for (String server : processes.servers().keySet()) {
      ManagedProcess process = processes.process(server);
      if (process.hasExited() && !process.exitedUnexpectedly() && !outages.containsKey(server)) {
        inject(new Fault.OnProcess(server, ProcessTrouble.KILLED, SERVER_RESTART_DELAY_MILLIS));
      }
    }
  }

  /** Starts a fault in the background, which also ends it after its duration. */
  void inject(Fault fault) {
    executor.execute(
        () -> {
          try {
            start(fault);
          } catch (IOException | RuntimeException failed) {
            Logger.error(failed, "event=fault-failed fault={}", fault);
          } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
          }
        });
  }

  private void start(Fault fault) throws IOException, InterruptedException {
    if (fault instanceof Fault.OnLink link) {
      disruptLink(link);
    } else if (fault instanceof Fault.NodeCutFromServers cut) {
      cutFromServers(cut);
    } else if (fault instanceof Fault.OnStore onStore) {
      disruptStore(onStore);
    } else if (fault instanceof Fault.StoreRefusesNodes refusal) {
      refuseNodes(refusal);
    } else if (fault instanceof Fault.ForeignEntry entry) {
      writeEntry("servers", entry.key(), entry.value(), entry.lastsMillis());
    } else if (fault instanceof Fault.OddEntry entry) {
      writeEntry(entry.table(), entry.key(), entry.value().text(), entry.lastsMillis());
    } else if (fault instanceof Fault.RateNamed rate) {
      advertiseRate(rate);
    } else if (fault instanceof Fault.RestWanted backoff) {
      requestBackoff(backoff);
    } else if (fault instanceof Fault.SecondReplies second) {
      answerTwice(second);
    } else if (fault instanceof Fault.LeavingSaid announcement) {
      runOutage(
          announcement.server(),
          ProcessTrouble.KILLED,
          () -> replacements.drainBeforeRecorded(announcement));
    } else if (fault instanceof Fault.AllNodesKilled kill) {
      kill(nodes, kill.lastsMillis());
    } else if (fault instanceof Fault.AllEnginesKilled kill) {
      kill(engines, kill.lastsMillis());
    } else if (fault instanceof Fault.SoftwareReleased release) {
      if (replacements.isDue(release)) {
        runOutage(release.engine(), ProcessTrouble.KILLED, () -> replacements.release(release));
      }
    } else if (fault instanceof Fault.ByOperator change) {
      operator.apply(change.change());
    } else if (fault instanceof Fault.ServerReplaced replaced) {
      runOutage(replaced.server(), ProcessTrouble.KILLED, () -> replacements.replace(replaced));
    } else if (fault instanceof Fault.OnProcess onProcess) {
      if (onProcess.trouble() == ProcessTrouble.TOLD_TO_RELOAD) {
        processes.process(onProcess.process()).signal("HUP");
      } else {
        runOutage(onProcess.process(), onProcess.trouble(), () -> disruptProcess(onProcess));
      }
    }
  }

  /** An action that pauses or stops a process for some time. */
  @FunctionalInterface
  private interface Outage {
    void run() throws IOException, InterruptedException;
  }

  /**
   * Runs an outage of a process and restarts the process if it has exited. During another outage,
   * it may only be sent a signal.
   */
  private void runOutage(String name, ProcessTrouble trouble, Outage outage)
      throws IOException, InterruptedException {
    ProcessTrouble before = outages.putIfAbsent(name, trouble);
    if (before != null) {
      signalDuringOutage(processes.process(name), before, trouble);
      return;
    }
    try {
      outage.run();
      if (!processes.process(name).isAlive()) {
        restart(name);
      }
    } finally {
      outages.remove(name);
    }
  }

  /**
   * Signals a process that is being paused or stopped. The outage that is under way restarts it,
   * and its recorded disruption covers this one.
   */
  private static void signalDuringOutage(
      ManagedProcess process, ProcessTrouble before, ProcessTrouble trouble)
      throws IOException, InterruptedException {
    if (trouble == ProcessTrouble.KILLED) {
      process.signal("KILL");
    } else if (before == ProcessTrouble.RESTARTED) {
      process.signal(trouble == ProcessTrouble.RESTARTED ? "TERM" : "STOP");
      Thread.sleep(SHORT_PAUSE_MILLIS);
      process.signal("CONT");
    }
  }

  private void disruptLink(Fault.OnLink link) throws InterruptedException {
    List<Long> disruptions = new ArrayList<>();
    for (String end : List.of(link.source(), link.destination())) {
      if (nodes.contains(end)) {
        disruptions.add(notes.recordDisruptionStart(end, true));
      }
    }
    processes.proxy().inject(link.source(), link.destination(), link.trouble());
    Thread.sleep(durationMillis(link));
    processes.proxy().remove(link.source(), link.destination(), link.trouble());
    disruptions.forEach(notes::recordDisruptionEnd);
  }

  private void cutFromServers(Fault.NodeCutFromServers cut) throws InterruptedException {
    long disruption = notes.recordDisruptionStart(cut.node(), true);
    processes.proxy().pairs().cut(cut.node(), cut.connects(), cut.open());
    Thread.sleep(cut.lastsMillis());
    processes.proxy().pairs().restore(cut.node());
    notes.recordDisruptionEnd(disruption);
  }

  private static long durationMillis(Fault.OnLink link) {
    return switch (link.trouble()) {
      case RESET, SILENCED -> 1;
      default -> link.lastsMillis();
    };
  }

  private void disruptStore(Fault.OnStore fault) throws IOException, InterruptedException {
    long disruption = notes.recordDisruptionStart(History.STORE, false);
    ManagedProcess store = processes.process(Deployment.STORE);
    StoreTrouble trouble = fault.trouble();
    if (trouble == StoreTrouble.FORGETFUL) {
      processes.store().discardHistory();
    } else if (trouble == StoreTrouble.PAUSED) {
      store.signal("STOP");
      Thread.sleep(fault.lastsMillis());
      store.signal("CONT");
    } else {
      processes.store().setFault(trouble.name());
      Thread.sleep(fault.lastsMillis());
      processes.store().setFault("NONE");
    }
    notes.recordDisruptionEnd(disruption);
  }

  /** Lets the store refuse nodes, and replaces keys at equal intervals meanwhile. */
  private void refuseNodes(Fault.StoreRefusesNodes refusal) throws InterruptedException {
    List<Long> disruptions = new ArrayList<>();
    for (String node : refusal.nodes()) {
      disruptions.add(notes.recordDisruptionStart(node, true));
      processes.store().setFaultFor(nodes.indexOf(node) + 1, refusal.trouble().name());
    }
    Thread.sleep(KEY_DELAY_MILLIS);
    for (int number = 0; number < refusal.replacedKeys(); number++) {
      operator.apply(Fault.OperatorChange.KEY_REPLACED);
      Thread.sleep(refusal.lastsMillis() / refusal.replacedKeys());
    }
    for (String node : refusal.nodes()) {
      processes.store().setFaultFor(nodes.indexOf(node) + 1, "NONE");
    }
    disruptions.forEach(notes::recordDisruptionEnd);
  }

  private void disruptProcess(Fault.OnProcess fault) throws IOException, InterruptedException {
    String name = fault.process();
    Processes.Server server = processes.servers().get(name);
    String subject = server == null ? name : server.instance();
    long disruption = notes.recordDisruptionStart(subject, false);
    ManagedProcess process = processes.process(name);
    switch (fault.trouble()) {
      case PAUSED -> {
        process.signal("STOP");
        Thread.sleep(fault.lastsMillis());
        process.signal("CONT");
        if (!process.isAlive()) {
          restart(name);
        }
      }
      case KILLED -> {
        process.signal("KILL");
        process.awaitExitOrKill(GRACE_MILLIS);
        Thread.sleep(fault.lastsMillis());
        restart(name);
      }
      case RESTARTED -> {
        process.signal("TERM");
        process.awaitExitOrKill(GRACE_MILLIS);
        restart(name);
      }
      case TOLD_TO_RELOAD -> throw new IllegalStateException("a reload does not stop the process");
    }
    notes.recordDisruptionEnd(disruption);
  }

  private void kill(List<String> names, long lastsMillis) {
    for (String name : names) {
      inject(new Fault.OnProcess(name, ProcessTrouble.KILLED, lastsMillis));
    }
  }

  private void restart(String name) throws IOException {
    if (nodes.contains(name)) {
      processes.startNode(name);
    } else {
      replacements.restart(name);
    }
  }

  /** Writes an entry that is of no use into a table, and removes it later. */
  private void writeEntry(String table, String key, String value, long lastsMillis)
      throws InterruptedException {
    processes.store().put(table, key, value);
    Thread.sleep(lastsMillis);
    processes.store().remove(table, key);
  }

  /** Lets a server advertise a rate limit. A server that is restarted meanwhile advertises none. */
  private void advertiseRate(Fault.RateNamed rate) throws IOException, InterruptedException {
    String limit = Double.toString(rate.perSecond());
    command(rate.server(), ServerBase.RATE_COMMAND, limit, rate.lastsMillis());
  }

  /** Lets a server request backoff. A server that is restarted meanwhile requests none. */
  private void requestBackoff(Fault.RestWanted backoff) throws IOException, InterruptedException {
    String arguments = backoff.restMillis() + " " + backoff.share();
    command(backoff.server(), ServerBase.REST_COMMAND, arguments, backoff.lastsMillis());
  }

  /** Lets a server answer twice. A server that is restarted meanwhile answers once. */
  private void answerTwice(Fault.SecondReplies second) throws IOException, InterruptedException {
    String arguments = second.kind() + " " + second.share() + " " + second.maxDelayMillis();
    command(second.server(), ServerBase.SECOND_REPLIES_COMMAND, arguments, second.lastsMillis());
  }

  /** Sends a server a command with arguments, and later the one without, which ends it. */
  private void command(String server, String command, String arguments, long lastsMillis)
      throws IOException, InterruptedException {
    ManagedProcess process = processes.process(server);
    if (!process.hasExited()) {
      process.send(command + arguments);
      Thread.sleep(lastsMillis);
    }
    if (!process.hasExited()) {
      process.send(command);
    }
  }

  /** Removes the entries of servers without recent heartbeats; the next heartbeat restores them. */
  private void removeSilentServers() {
    long silentSince =
        StandardStreams.nowMillis() - MAX_MISSED_HEARTBEATS * StandInProcess.HEARTBEAT_MILLIS;
    Set<Processes.Server> servers = new HashSet<>(processes.servers().values());
    for (Processes.Server server : servers) {
      if (server.lastBeatMillis() < silentSince) {
        processes.store().removeIfPresent("servers", server.id());
      }
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
