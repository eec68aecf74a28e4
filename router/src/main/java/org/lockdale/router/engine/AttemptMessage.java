package org.lockdale.router.engine;

/**
 * One attempt as an engine is told of it.
 *
 * @param attemptId unique for each dispatch
 * @param path endpoint
 * @param body the caller's body, unchanged
 * @param modelName model as the caller named it
 * @param kindName name of the endpoint's kind
 * @param tenant tenant
 * @param weightsVersion weights version the model must have
 * @param cacheSalt salt of cached blocks
 * @param priorityLevel higher runs first
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
