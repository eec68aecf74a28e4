package org.lockdale.gateway.backend;

import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.cache.CacheTransfer;
import org.lockdale.gateway.configuration.Tenant;

/**
 * What is sent along with a request to one back end.
 *
 * @param backend the back end; no other may run the request
 * @param tenant tenant of the caller, or null for an anonymous one
 * @param remainingMillis time left until the answer is no longer wanted
 * @param priority rank of the request, 0 first
 * @param cacheNamespace cached prompts are shared within this text only
 * @param expectedWeights version of the weights that must serve it, or null for any
 * @param cache moves of cached prompts around the request
 * @param lastEventId id of the last event that the caller holds, or null to start afresh
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
