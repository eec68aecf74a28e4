package org.lockdale.soak.judge;

/**
 * A route of a configuration.
 *
 * @param service service that runs the route's requests
 * @param timeoutMillis maximum time for a response, in milliseconds
 * @param maxAttempts maximum number of servers that may run one request at the same time
 */
public record RouteFacts(String service, long timeoutMillis, int maxAttempts) {}
