package org.lockdale.gateway.configuration;

import java.net.InetSocketAddress;

/**
 * A store that keeps cached prompts for engines.
 *
 * @param name name of the store
 * @param address where it is reached
 * @param zone zone it stands in
 */
public record CacheStore(String name, InetSocketAddress address, String zone) {}
