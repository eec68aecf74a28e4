package org.lockdale.gateway.backend;

import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.cache.CacheTransfer;
import org.lockdale.gateway.configuration.Tenant;

/**
 * One attempt of a request: the backend and what is sent along.
 *
 * @param backend the backend; no other may run the request
 * @param tenant tenant of the caller, or null for an anonymous one
 * @param remainingMillis time in milliseconds until the caller no longer waits for the response
 * @param priority priority of the request, 0 being the highest
 * @param cacheNamespace namespace within which cached prompts are shared
 * @param expectedWeights version of the weights that must serve the request, or null for any
 * @param cache transfers of cached prompts around the request
 * @param lastEventId id of the last event that the caller has received, or null to start from the
 *     beginning
 */
public record AttemptPlan(
    Backend backend,
    @Nullable Tenant tenant,
    long remainingMillis,
    int priority,
    String cacheNamespace,
    @Nullable Long expectedWeights,
    CacheTransfer cache,
    @Nullable String lastEventId) {}
