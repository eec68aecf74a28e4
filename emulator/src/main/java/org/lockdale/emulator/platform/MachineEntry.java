package org.lockdale.emulator.platform;

import java.util.Map;

/**
 * A machine in the platform's machine list.
 *
 * @param id machine id
 * @param role {@code engine} or {@code node}
 * @param zone zone of the machine
 * @param host IP address
 * @param port port of the machine's main service
 * @param state {@code live}, or {@code leaving} while the machine is draining
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
