package org.lockdale.gateway.weights;

/**
 * Version of a model's weights that operators have set as the target.
 *
 * @param version the version
 * @param notBeforeMillis monotonic time in milliseconds before which it can't have been set; where
 *     estimated, the time from which this node has to measure its age
 * @param estimated whether no node is known to have read the store before the version was set
 */
public record TargetVersion(long version, long notBeforeMillis, boolean estimated) {}
