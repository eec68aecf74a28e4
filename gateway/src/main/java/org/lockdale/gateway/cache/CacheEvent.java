package org.lockdale.gateway.cache;

/**
 * A change of what a holder of cached prompts keeps.
 *
 * @param added whether the part is kept now; false where it was dropped
 * @param namespace namespace of the part
 * @param part id of the part
 * @param tokens tokens of it that are kept
 */
public record CacheEvent(boolean added, String namespace, String part, int tokens) {}
