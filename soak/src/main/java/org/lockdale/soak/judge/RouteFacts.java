package org.lockdale.soak.judge;

/**
 * A route as a configuration has it.
 *
 * @param service service that runs the route's requests
 * @param timeoutMillis longest time for an answer, in milliseconds
 * @param maxAttempts most servers that may work on one request at a time
 */
public record RouteFacts(String service, long timeoutMillis, int maxAttempts) {}
