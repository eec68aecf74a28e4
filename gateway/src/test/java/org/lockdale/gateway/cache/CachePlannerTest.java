package org.lockdale.gateway.cache;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.caller.PromptPart;
import org.lockdale.gateway.configuration.CacheStore;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Moves of cached prompts follow what the store keeps, within one namespace only. */
public final class CachePlannerTest {

  private static final InetSocketAddress STORE = address(9);
  private static final Optional<CacheStore> IN_FORCE =
      Optional.of(new CacheStore("store", STORE, "zone"));
  private static final List<PromptPart> PARTS =
      List.of(new PromptPart("root", 100), new PromptPart("deep", 200), new PromptPart("own", 10));

  private CacheStoreView view;
  private CachePlanner planner;
  private TrackedBackend target;
  private TrackedBackend home;

  private static InetSocketAddress address(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private static TrackedBackend engine(String id, int port) {
    return TrackedBackend.of(
        new Backend(id, "pool", address(port), "zone", 4, false, Map.of("model", 1L)));
  }

  @BeforeMethod
  public void start() {
    view = new CacheStoreView();
    view.setAvailable(true);
    planner = new CachePlanner(view);
    target = engine("target", 1);
    home = engine("home", 2);
  }

  private CacheTransfer plan(String namespace, long now) {
    return planner.plan(target, home, namespace, PARTS, IN_FORCE, now);
  }

  @Test
  public void whatTheStoreKeepsIsFetchedThereAndNotSavedAgain() {
    view.apply(new CacheEvent(true, "1", "deep", 200));
    assertEquals(plan("1", 0), new CacheTransfer(STORE, null));
  }

  @Test
  public void anotherNamespaceIsNeverTouched() {
    view.apply(new CacheEvent(true, "1", "deep", 200));
    assertEquals(plan("2", 0), new CacheTransfer(home.backend().address(), STORE));
  }

  @Test
  public void aPartIsSavedOnceAndAnEngineThatHasItFetchesNothing() {
    assertEquals(plan("1", 0), new CacheTransfer(home.backend().address(), STORE));
    assertEquals(plan("1", 100), CacheTransfer.NONE);
  }

  @Test
  public void aStoreThatDoesNotAnswerIsNotUsed() {
    view.apply(new CacheEvent(true, "1", "deep", 200));
    view.setAvailable(false);
    CacheTransfer transfer = plan("1", 0);
    assertEquals(transfer.source(), home.backend().address());
    assertNull(transfer.destination());
  }

  @Test
  public void whatTheStoreHasDroppedIsSavedAgain() {
    view.apply(new CacheEvent(true, "1", "deep", 200));
    view.apply(new CacheEvent(false, "1", "deep", 0));
    assertEquals(plan("1", 0).destination(), STORE);
  }
}
