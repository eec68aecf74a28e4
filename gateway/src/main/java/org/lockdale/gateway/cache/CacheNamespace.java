package org.lockdale.gateway.cache;

import org.jspecify.annotations.Nullable;

/** Names the namespaces of cached prompts. */
public final class CacheNamespace {

  private static final String UNKNOWN_WEIGHTS = "any";

  private CacheNamespace() {}

  /**
   * Returns the namespace of prompts that were computed by one version of the weights, and for one
   * tenant if it is isolated.
   */
  public static String of(@Nullable Long weights, @Nullable String isolatedTenant) {
    String version = weights == null ? UNKNOWN_WEIGHTS : weights.toString();
    return isolatedTenant == null ? version : version + ":" + isolatedTenant;
  }
}
