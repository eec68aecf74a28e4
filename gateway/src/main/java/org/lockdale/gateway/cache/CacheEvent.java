package org.lockdale.gateway.cache;

/**
 * A change of the parts of prompts that a holder keeps.
 *
 * @param added true where the part was added, false where it was dropped
 * @param namespace namespace of the part
 * @param part id of the part
 * @param tokens number of its tokens that are kept
 */
public record CacheEvent(boolean added, String namespace, String part, int tokens) {}
