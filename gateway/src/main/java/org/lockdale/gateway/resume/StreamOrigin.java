package org.lockdale.gateway.resume;

/**
 * Where a stream began.
 *
 * @param pool pool of the backend that sent its first event
 * @param softwareVersion software version of that backend
 */
public record StreamOrigin(String pool, String softwareVersion) {}
