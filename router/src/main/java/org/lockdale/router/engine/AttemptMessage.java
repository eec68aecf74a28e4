package org.lockdale.router.engine;

/**
 * Contents of the request that sends an attempt to an engine.
 *
 * @param attemptId unique for each dispatch
 * @param path path of the endpoint
 * @param body the caller's body, unchanged
 * @param modelName model name as sent by the caller
 * @param kindName name of the endpoint's kind
 * @param tenant tenant
 * @param weightsVersion weights version that the engine must hold
 * @param cacheSalt salt of the hashes of cached blocks
 * @param priorityLevel 0 to 1000; higher runs first
 */
public record AttemptMessage(
    String attemptId,
    String path,
    byte[] body,
    String modelName,
    String kindName,
    String tenant,
    String weightsVersion,
    String cacheSalt,
    int priorityLevel) {}
