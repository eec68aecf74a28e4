package org.lockdale.emulator.scale;

/**
 * What one size costs. Bytes are sent and received together, with all headers; all traffic is that
 * of the in-memory transport.
 *
 * @param nodes nodes
 * @param zones zones
 * @param joinMillis time until all nodes knew each other after starting together
 * @param steadyBytesPerSecond mean bytes a second of one node
 * @param steadyMessagesPerSecond mean messages a second of one node
 * @param steadyProcessorMicrosPerSecond processor time a second of one node
 * @param falseDeaths times a running node was declared dead in the steady state
 * @param changeMillisP50 time until a change was in force everywhere, median over changes
 * @param changeMillisMax the same, the slowest change
 * @param changeBytesPerNode bytes that one change costs a node, above the steady state
 * @param detectionMillisP50 time until half of the nodes knew of a death
 * @param detectionMillisMax time until all nodes knew of all deaths
 * @param zoneCutWorstBytes most bytes of one node in one second while a zone was cut off and healed
 * @param healMillis time from healing until all nodes knew each other again
 * @param changeAfterHealMillis time from healing until a change made during the cut was in force in
 *     the zone that was cut off
 * @param herdWorstBytes most bytes of one node in one second after all restarted together
 * @param herdMillis time until all knew each other after all restarted together
 * @param heapBytesPerNode heap of one node's coordination state
 */
public record ScaleReport(
    int nodes,
    int zones,
    long joinMillis,
    double steadyBytesPerSecond,
    double steadyMessagesPerSecond,
    double steadyProcessorMicrosPerSecond,
    int falseDeaths,
    long changeMillisP50,
    long changeMillisMax,
    double changeBytesPerNode,
    long detectionMillisP50,
    long detectionMillisMax,
    long zoneCutWorstBytes,
    long healMillis,
    long changeAfterHealMillis,
    long herdWorstBytes,
    long herdMillis,
    long heapBytesPerNode) {}
