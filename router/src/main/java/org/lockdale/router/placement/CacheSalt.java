package org.lockdale.router.placement;

import org.lockdale.coordination.placement.CacheScope;
import org.lockdale.coordination.placement.PrefixChain;
import org.lockdale.router.policy.ServedModel;

/**
 * Salt that separates the cached blocks of different scopes. It is sent with each request to its
 * engine and mixed into every block hash by both the node and the engine.
 *
 * @param value salt in hexadecimal, as sent in the header
 */
public record CacheSalt(String value) {

  /**
   * Returns the salt of a tenant's requests for a model at a weights version.
   *
   * @param weightsVersion version that the engine holds, which may differ from the target version
   */
  public static CacheSalt of(String tenant, ServedModel model, String weightsVersion) {
    String adapter =
        model.adapter().isEmpty() ? "" : model.adapter() + "@" + model.adapterVersion();
    CacheScope scope = new CacheScope(tenant, model.model(), adapter, weightsVersion);
    return new CacheSalt(Long.toHexString(scope.hash()));
  }

  /** Returns the block hashes of a prompt, as an engine computes them with this salt. */
  public PrefixChain chainOf(byte[] prompt) {
    return PrefixChain.of(new CacheScope(value, "", "", ""), prompt);
  }
}
