package org.lockdale.gateway.configuration;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Determines who shares cached prompts. An isolated tenant has a scope of its own. All others share
 * one, which is another one for each set of isolated tenants: holders keep the prompts that a
 * tenant computed before it became isolated, and must not find them for others afterwards. The
 * scope depends on nothing but the configuration, so that all nodes agree on it, also after a
 * start.
 */
final class CacheScopes {

  /** Starts the shared scopes; tenants' own scopes start with none of it, or with two. */
  private static final String SHARED_PREFIX = "/";

  private static final int DIGEST_BYTES = 16;

  private final Set<String> isolated = new TreeSet<>();
  private final @Nullable String shared;

  CacheScopes(List<Tenant> tenants) {
    tenants.stream().filter(Tenant::isolated).forEach(tenant -> isolated.add(tenant.name()));
    shared = isolated.isEmpty() ? null : SHARED_PREFIX + digestOf(isolated);
  }

  /**
   * Returns the scope of a tenant's requests.
   *
   * @param tenant the tenant, which may be of an earlier configuration, or null for none
   * @return the scope, or null for the scope that is shared while no tenant is isolated
   */
  @Nullable String of(@Nullable Tenant tenant) {
    if (tenant == null || !(tenant.isolated() || isolated.contains(tenant.name()))) {
      return shared;
    }
    return tenant.name().startsWith(SHARED_PREFIX) ? SHARED_PREFIX + tenant.name() : tenant.name();
  }

  private static String digestOf(Set<String> names) {
    MessageDigest digest = sha256();
    for (String name : names) {
      byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
      digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
      digest.update(bytes);
    }
    return HexFormat.of().formatHex(Arrays.copyOf(digest.digest(), DIGEST_BYTES));
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException(impossible);
    }
  }
}
