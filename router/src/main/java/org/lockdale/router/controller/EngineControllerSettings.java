package org.lockdale.router.controller;

import java.time.Duration;

/**
 * Zone and intervals of an {@link EngineController}.
 *
 * @param zone zone of this node
 * @param reportInterval interval between load reports of an engine in the zone
 * @param remoteReportInterval the same for an engine in another zone
 * @param machineListInterval interval between reads of the machine list
 */
public record EngineControllerSettings(
    String zone,
    Duration reportInterval,
    Duration remoteReportInterval,
    Duration machineListInterval) {}
