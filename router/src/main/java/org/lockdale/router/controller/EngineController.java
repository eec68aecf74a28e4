package org.lockdale.router.controller;

import io.netty.channel.EventLoop;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.lockdale.coordination.membership.Member;
import org.lockdale.coordination.time.Time;
import org.lockdale.router.blackboard.Blackboard;
import org.lockdale.router.engine.EngineClient;
import org.lockdale.router.engine.EngineReport;
import org.lockdale.router.engine.EngineTable;
import org.lockdale.router.engine.EngineView;
import org.lockdale.router.platform.Machine;
import org.lockdale.router.platform.MachineListClient;
import org.lockdale.router.policy.PolicySet;
import org.tinylog.Logger;

/**
 * Publishes the section {@code engines}: the engines in the platform's machine list, with the load
 * that they report. If the list can't be read and none is known yet, uses a peer's copy of it. Runs
 * on one event loop.
 */
public final class EngineController implements Closeable {

  /** Path of this node's copy of the machine list at the operators' port. */
  public static final String MACHINES_PATH = "/v1/machines";

  /** Engines that are no longer listed are kept this long, since the list may be wrong. */
  private static final long UNLISTED_RETENTION_MILLIS = 10_000;

  /** Maximum time for which a report waits for others before it is published. */
  private static final long PUBLICATION_DELAY_MILLIS = 10;

  private final EventLoop eventLoop;
  private final Blackboard blackboard;
  private final EngineClient engines;
  private final MachineListClient machineLists;
  private final InetSocketAddress platform;
  private final EngineControllerSettings settings;
  private final Time time;
  private final Runnable onReport;
  private final Map<String, EngineRecord> records = new HashMap<>();
  private volatile List<Machine> machines = List.of();
  private PolicySet publishedPolicies = PolicySet.EMPTY;
  private boolean publicationScheduled;
  private volatile boolean closed;

  /**
   * Starts the controller.
   *
   * @param eventLoop runs the controller
   * @param blackboard blackboard to publish to
   * @param engines client of the engines
   * @param machineLists client of machine lists
   * @param platform address of the platform
   * @param settings zone and intervals
   * @param time clock
   * @param onReport called after new reports are published, which may show free capacity
   */
  public EngineController(
      EventLoop eventLoop,
      Blackboard blackboard,
      EngineClient engines,
      MachineListClient machineLists,
      InetSocketAddress platform,
      EngineControllerSettings settings,
      Time time,
      Runnable onReport) {
    this.eventLoop = eventLoop;
    this.blackboard = blackboard;
    this.engines = engines;
    this.machineLists = machineLists;
    this.platform = platform;
    this.settings = settings;
    this.time = time;
    this.onReport = onReport;
    schedule(this::readMachines, settings.machineListInterval());
    schedule(this::readReports, settings.reportInterval());
  }

  private void schedule(Runnable task, Duration interval) {
    eventLoop.scheduleAtFixedRate(
        () -> {
          if (!closed) {
            task.run();
          }
        },
        0,
        interval.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  /** Returns the last machine list that was read, or an empty list. */
  public List<Machine> machines() {
    return machines;
  }

  private void readMachines() {
    machineLists
        .readIfChanged(platform, MachineListClient.PLATFORM_PATH)
        .whenCompleteAsync(
            (list, failure) -> {
              if (failure == null) {
                accept(list.orElse(machines));
              } else if (machines.isEmpty()) {
                readMachinesFromPeer();
              }
            },
            eventLoop);
  }

  private void readMachinesFromPeer() {
    List<Member> members = blackboard.members().value();
    for (Member member : members) {
      if (member.isAlive() && member.operatorPort() > 0) {
        machineLists
            .readIfChanged(member.operatorAddress(), MACHINES_PATH)
            .whenCompleteAsync(
                (list, failure) -> {
                  boolean isFirst = failure == null && machines.isEmpty() && list.isPresent();
                  if (isFirst && !list.get().isEmpty()) {
                    accept(list.get());
                  }
                },
                eventLoop);
      }
    }
  }

  private void accept(List<Machine> list) {
    machines = List.copyOf(list);
    long now = time.monotonicMillis();
    for (Machine machine : list) {
      if (machine.isEngine()) {
        EngineRecord record = records.get(machine.id());
        if (record == null || !record.hasAddressOf(machine)) {
          records.put(machine.id(), new EngineRecord(machine, now));
          readReport(records.get(machine.id()));
        } else {
          record.updateMachine(machine, now);
        }
      }
    }
    records.values().removeIf(record -> record.isExpired(now, UNLISTED_RETENTION_MILLIS));
    publish();
  }

  private void readReports() {
    long now = time.monotonicMillis();
    for (EngineRecord record : records.values()) {
      Duration interval =
          record.machine().zone().equals(settings.zone())
              ? settings.reportInterval()
              : settings.remoteReportInterval();
      if (record.isReportDue(now, interval.toMillis())) {
        readReport(record);
      }
    }
    if (publishedPolicies != blackboard.policies().value()) {
      publish();
    }
  }

  private void readReport(EngineRecord record) {
    record.markReportRequested(time.monotonicMillis());
    engines
        .report(record.address())
        .whenCompleteAsync((report, failure) -> handleReport(record, report, failure), eventLoop);
  }

  private void handleReport(EngineRecord record, EngineReport report, Throwable failure) {
    long now = time.monotonicMillis();
    record.markReportFinished();
    if (failure != null) {
      record.activity().recordFailure(now);
      Logger.debug("event=report-failed engine={}", record.machine().id());
      return;
    }
    record.updateReport(report, now);
    schedulePublication();
  }

  /**
   * Schedules a publication that includes all reports until then, since each publication rebuilds
   * the views of all engines.
   */
  private void schedulePublication() {
    if (!publicationScheduled) {
      publicationScheduled = true;
      eventLoop.schedule(
          () -> {
            publicationScheduled = false;
            publish();
            onReport.run();
          },
          PUBLICATION_DELAY_MILLIS,
          TimeUnit.MILLISECONDS);
    }
  }

  private void publish() {
    PolicySet policies = blackboard.policies().value();
    publishedPolicies = policies;
    List<EngineView> views = new ArrayList<>(records.size());
    for (EngineRecord record : records.values()) {
      views.add(record.toView(policies));
    }
    views.sort(Comparator.comparing(EngineView::id));
    blackboard.engines().publish(new EngineTable(List.copyOf(views)), time.monotonicMillis());
  }

  @Override
  public void close() {
    closed = true;
  }
}
