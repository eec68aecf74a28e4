package org.lockdale.emulator.scale;

/**
 * Size of an experiment.
 *
 * @param nodes nodes
 * @param zones zones, among which nodes are spread evenly
 * @param regions regions, among which zones are spread evenly
 * @param steadySeconds simulated time of the steady state
 * @param lossPerMille share of messages lost
 * @param seed decides everything
 */
public record ScaleSettings(
    int nodes, int zones, int regions, int steadySeconds, int lossPerMille, long seed) {}
