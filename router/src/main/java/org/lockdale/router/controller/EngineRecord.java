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

/** What the controller holds of one engine; used on the controller's event loop only. */
final class EngineRecord {

  /** A report that was asked for and not answered holds the next one back this long at most. */
  private static final long REPORT_TIMEOUT_MILLIS = 1_000;

  private final InetSocketAddress address;
  private final EngineActivity activity = new EngineActivity();
  private final long identity;
  private Machine machine;
  private long listedAtMillis;
  private long reportAskedAtMillis = Long.MIN_VALUE / 2;
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

  boolean isAt(Machine other) {
    return machine.host().equals(other.host()) && machine.port() == other.port();
  }

  void listed(Machine newMachine, long nowMillis) {
    machine = newMachine;
    listedAtMillis = nowMillis;
  }

  boolean isDropped(long nowMillis, long retentionMillis) {
    return nowMillis - listedAtMillis > retentionMillis;
  }

  boolean wantsReport(long nowMillis, long intervalMillis) {
    long age = nowMillis - reportAskedAtMillis;
    return reportPending ? age >= REPORT_TIMEOUT_MILLIS : age >= intervalMillis;
  }

  void reportAsked(long nowMillis) {
    reportAskedAtMillis = nowMillis;
    reportPending = true;
  }

  void reportAnswered() {
    reportPending = false;
  }

  void reported(EngineReport newReport, long nowMillis) {
    report = newReport;
    load = newReport.toLoad(nowMillis);
    activity.reported();
    activity.succeeded();
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
