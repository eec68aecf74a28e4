package org.lockdale.gateway.cache;

import org.jspecify.annotations.Nullable;

/** Derives the namespaces of cached prompts. */
public final class CacheNamespace {

  private static final String UNKNOWN_WEIGHTS = "any";

  private CacheNamespace() {}

  /**
   * Returns the namespace of prompts computed with one version of the weights within one scope.
   *
   * @param weights version of the weights, or null where unknown
   * @param scope scope within which cached prompts are shared, or null for the one that is shared
   *     while no tenant is isolated
   */
  public static String of(@Nullable Long weights, @Nullable String scope) {
    String version = weights == null ? UNKNOWN_WEIGHTS : weights.toString();
    return scope == null ? version : version + ":" + scope;
  }
}
