package org.lockdale.router.controller;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.placement.Rendezvous;
import org.lockdale.router.engine.EngineActivity;
import org.lockdale.router.engine.EngineLoad;
import org.lockdale.router.engine.EngineReport;
import org.lockdale.router.engine.EngineView;
import org.lockdale.router.platform.Machine;
import org.lockdale.router.policy.LabelNames;
import org.lockdale.router.policy.PolicySet;

/** State of one engine, confined to the controller's event loop. */
final class EngineRecord {

  /** A pending request for a report delays the next one by at most this long. */
  private static final long REPORT_TIMEOUT_MILLIS = 1_000;

  private final InetSocketAddress address;
  private final EngineActivity activity = new EngineActivity();
  private final long identity;
  private Machine machine;
  private long listedAtMillis;
  private long reportRequestedAtMillis = Long.MIN_VALUE / 2;
  private boolean reportPending;
  private @Nullable EngineReport report;
  private EngineLoad load = EngineLoad.UNKNOWN;

  EngineRecord(Machine machine, long nowMillis) {
    this.machine = machine;
    this.listedAtMillis = nowMillis;
    this.address = new InetSocketAddress(machine.host(), machine.port());
    this.identity = Rendezvous.identityOf(machine.id());
  }

  Machine machine() {
    return machine;
  }

  InetSocketAddress address() {
    return address;
  }

  EngineActivity activity() {
    return activity;
  }

  boolean hasAddressOf(Machine other) {
    return machine.host().equals(other.host()) && machine.port() == other.port();
  }

  void updateMachine(Machine newMachine, long nowMillis) {
    machine = newMachine;
    listedAtMillis = nowMillis;
  }

  boolean isExpired(long nowMillis, long retentionMillis) {
    return nowMillis - listedAtMillis > retentionMillis;
  }

  boolean isReportDue(long nowMillis, long intervalMillis) {
    long age = nowMillis - reportRequestedAtMillis;
    return reportPending ? age >= REPORT_TIMEOUT_MILLIS : age >= intervalMillis;
  }

  void markReportRequested(long nowMillis) {
    reportRequestedAtMillis = nowMillis;
    reportPending = true;
  }

  void markReportFinished() {
    reportPending = false;
  }

  void updateReport(EngineReport newReport, long nowMillis) {
    report = newReport;
    load = newReport.toLoad(nowMillis);
    activity.resetSinceReport();
    activity.recordSuccess();
  }

  EngineView toView(PolicySet policies) {
    Map<String, String> labels = new HashMap<>();
    if (machine.labels() != null) {
      labels.putAll(machine.labels());
    }
    if (report != null && report.labels() != null) {
      labels.putAll(report.labels());
    }
    labels.putAll(policies.engineLabels().getOrDefault(machine.id(), Map.of()));
    labels.put(LabelNames.ENGINE, machine.id());
    labels.put(LabelNames.ZONE, machine.zone());
    boolean leaving = machine.isLeaving() || report != null && report.leaving();
    return new EngineView(
        machine.id(),
        identity,
        address,
        machine.zone(),
        Map.copyOf(labels),
        report == null ? "" : report.incarnation(),
        report == null ? Map.of() : Map.copyOf(report.weights()),
        leaving,
        load,
        activity);
  }
}
