package org.lockdale.gateway.weights;

/**
 * A version of a model's weights that operators have named.
 *
 * @param version the version
 * @param notBeforeMillis monotonic time before which it can't have been named
 */
public record NamedVersion(long version, long notBeforeMillis) {}
