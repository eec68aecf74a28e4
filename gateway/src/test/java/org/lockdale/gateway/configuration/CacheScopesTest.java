package org.lockdale.gateway.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;

/** Isolated tenants share no cached prompts with others, whatever was configured before. */
public final class CacheScopesTest {

  private static final int SEEDS = 300;
  private static final int CONFIGURATIONS = 30;
  private static final List<String> NAMES = List.of("amber", "birch", "cedar", "dogwood");

  private static Tenant tenant(String name, boolean isolated) {
    return new Tenant(name, Set.of("key-" + name), null, isolated, null);
  }

  private static CacheScopes scopes(Tenant... tenants) {
    return new CacheScopes(List.of(tenants));
  }

  @Test
  public void promptsComputedBeforeATenantBecameIsolatedAreNotFoundByOthers() {
    Tenant birch = tenant("birch", false);
    CacheScopes before = scopes(tenant("amber", false), birch);
    CacheScopes after = scopes(tenant("amber", true), birch);
    assertNotEquals(after.of(birch), before.of(tenant("amber", false)));
    assertNotEquals(after.of(null), before.of(null));
  }

  @Test
  public void aRequestFromBeforeTheChangeHasTheScopeOfNow() {
    CacheScopes after = scopes(tenant("amber", true), tenant("birch", false));
    assertEquals(after.of(tenant("amber", false)), after.of(tenant("amber", true)));
    CacheScopes removed = scopes(tenant("birch", false));
    assertNotEquals(removed.of(tenant("amber", true)), removed.of(tenant("birch", false)));
  }

  @Test
  public void onlyChangesOfIsolationChangeTheSharedScope() {
    CacheScopes scopes =
        scopes(tenant("amber", true), tenant("birch", true), tenant("cedar", false));
    CacheScopes reordered =
        scopes(tenant("dogwood", false), tenant("birch", true), tenant("amber", true));
    assertEquals(reordered.of(null), scopes.of(tenant("cedar", false)));
    assertEquals(scopes(tenant("cedar", false)).of(null), null);
  }

  @Test
  public void noTenantNameYieldsTheSharedScope() {
    CacheScopes scopes = scopes(tenant("amber", true));
    String shared = scopes.of(null);
    assertNotEquals(scopes(tenant(shared, true)).of(tenant(shared, true)), shared);
    assertNotEquals(scopes(tenant("ab", true), tenant("c", true)).of(null), shared);
    assertNotEquals(
        scopes(tenant("ab", true), tenant("c", true)).of(null),
        scopes(tenant("a", true), tenant("bc", true)).of(null));
  }

  /** What each scope holds: the tenants whose requests computed it. Nothing is ever dropped. */
  private static final class Holders {

    private final Map<String, Set<String>> makersByScope = new HashMap<>();

    /** Runs a request of a tenant; returns the other tenants whose prompts it may have used. */
    Set<String> run(Tenant user, CacheScopes scopes) {
      String scope = String.valueOf(scopes.of(user));
      Set<String> makers = makersByScope.computeIfAbsent(scope, first -> new HashSet<>());
      makers.add(user.name());
      Set<String> others = new HashSet<>(makers);
      others.remove(user.name());
      return others;
    }
  }

  /**
   * Runs requests of all tenants under random configurations, in which tenants are isolated, shared
   * again and removed.
   *
   * @param lagging whether another node, which has the former configuration, runs some as well
   */
  private static void runRandomConfigurations(long seed, boolean lagging) {
    Random random = new Random(seed);
    Holders holders = new Holders();
    List<Tenant> former = List.of();
    for (int number = 0; number < CONFIGURATIONS; number++) {
      List<Tenant> tenants = randomTenants(random);
      if (lagging) {
        CacheScopes scopes = new CacheScopes(former);
        former.forEach(user -> holders.run(user, scopes));
      }
      Set<String> isolated = new HashSet<>();
      tenants.stream().filter(Tenant::isolated).forEach(each -> isolated.add(each.name()));
      CacheScopes scopes = new CacheScopes(tenants);
      for (Tenant user : tenants) {
        Set<String> others = holders.run(user, scopes);
        String message = "seed " + seed + ": " + user + " of " + tenants + " used " + others;
        assertFalse(isolated.contains(user.name()) && !others.isEmpty(), message);
        assertFalse(others.stream().anyMatch(isolated::contains), message);
      }
      former = tenants;
    }
  }

  @Test
  public void noSequenceOfConfigurationsLetsPresentTenantsCrossAnIsolation() {
    for (long seed = 0; seed < SEEDS; seed++) {
      runRandomConfigurations(seed, false);
    }
  }

  @Test
  public void noNodeWithTheFormerConfigurationLeavesPromptsBehindThatCrossAnIsolation() {
    for (long seed = 0; seed < SEEDS; seed++) {
      runRandomConfigurations(seed, true);
    }
  }

  private static List<Tenant> randomTenants(Random random) {
    List<Tenant> tenants = new ArrayList<>();
    for (String name : NAMES) {
      if (random.nextInt(4) > 0) {
        tenants.add(tenant(name, random.nextInt(3) == 0));
      }
    }
    Collections.shuffle(tenants, random);
    return tenants;
  }
}
