package org.lockdale.gateway.cache;

/**
 * What an engine lacks of a prompt's shared parts.
 *
 * @param fetchable tokens that another holder has
 * @param unknown tokens that nobody is known to have and that must be computed
 */
public record PrefixNeed(long fetchable, long unknown) {}
