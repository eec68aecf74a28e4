package org.lockdale.gateway.cache;

import org.jspecify.annotations.Nullable;

/** Derives the namespaces of cached prompts. */
public final class CacheNamespace {

  private static final String UNKNOWN_WEIGHTS = "any";

  private CacheNamespace() {}

  /**
   * Returns the namespace of prompts computed with one version of the weights, and for one tenant
   * if it is isolated.
   *
   * @param weights version of the weights, or null where unknown
   * @param isolatedTenant tenant whose cached prompts are not shared with others, or null for none
   */
  public static String of(@Nullable Long weights, @Nullable String isolatedTenant) {
    String version = weights == null ? UNKNOWN_WEIGHTS : weights.toString();
    return isolatedTenant == null ? version : version + ":" + isolatedTenant;
  }
}
