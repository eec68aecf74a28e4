package org.lockdale.gateway.weights;

/**
 * A version of a model's weights that operators have named.
 *
 * @param version the version
 * @param notBeforeMillis monotonic time before which it can't have been named; where it is
 *     estimated, the time from which this node has to count
 * @param estimated whether no node is known to have witnessed that the version was not named before
 */
public record NamedVersion(long version, long notBeforeMillis, boolean estimated) {}
