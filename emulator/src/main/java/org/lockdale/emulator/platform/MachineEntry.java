package org.lockdale.emulator.platform;

import java.util.Map;

/**
 * A machine on the platform's list.
 *
 * @param id machine id
 * @param role {@code engine} or {@code node}
 * @param zone zone
 * @param host IP address
 * @param port port of the machine's main service
 * @param state {@code live} or {@code leaving}
 * @param labels labels of the machine
 */
public record MachineEntry(
    String id,
    String role,
    String zone,
    String host,
    int port,
    String state,
    Map<String, String> labels) {}
