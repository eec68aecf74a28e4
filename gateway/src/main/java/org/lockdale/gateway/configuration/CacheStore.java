package org.lockdale.gateway.configuration;

import java.net.InetSocketAddress;

/**
 * A store of cached prompts that engines share.
 *
 * @param name name of the store
 * @param address address of the store
 * @param zone zone in which the store is located
 */
public record CacheStore(String name, InetSocketAddress address, String zone) {}
