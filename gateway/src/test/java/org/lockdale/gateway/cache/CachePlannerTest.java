package org.lockdale.gateway.cache;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.DefaultEventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.caller.PromptPart;
import org.lockdale.gateway.configuration.CacheStore;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Checks that transfers of cached prompts follow the contents of the holders, within one namespace
 * only.
 */
public final class CachePlannerTest {

  private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final InetSocketAddress STORE = address(9);
  private static final PromptPart OWN = new PromptPart("own", 10);
  private static final List<PromptPart> PARTS =
      List.of(new PromptPart("root", 1_000), new PromptPart("deep", 2_000), OWN);

  /**
   * Holders that respond to polls at once, with the events added so far, and fail while they are
   * down.
   */
  private static final class ScriptedHolders implements CacheEventSource {
    private final Map<InetSocketAddress, List<CacheEvent>> pendingEvents = new HashMap<>();
    private final Map<InetSocketAddress, Long> epochs = new HashMap<>();
    private final List<InetSocketAddress> down = new ArrayList<>();

    @Override
    public synchronized CompletableFuture<CacheEventPage> changes(
        InetSocketAddress holder, CachePosition position, Duration wait) {
      if (down.contains(holder)) {
        return CompletableFuture.failedFuture(new IllegalStateException("down"));
      }
      List<CacheEvent> events = pendingEvents.remove(holder);
      return CompletableFuture.completedFuture(
          new CacheEventPage(
              epochs.getOrDefault(holder, 1L),
              position.next() + 1,
              false,
              events == null ? List.of() : List.copyOf(events)));
    }

    @Override
    public CompletableFuture<CacheEventPage> contents(InetSocketAddress holder) {
      return changes(holder, CachePosition.START, Duration.ZERO);
    }

    synchronized void addEvent(
        InetSocketAddress holder, boolean added, String namespace, String part) {
      pendingEvents
          .computeIfAbsent(holder, address -> new ArrayList<>())
          .add(new CacheEvent(added, namespace, part, 100));
    }

    synchronized void setDown(InetSocketAddress holder) {
      down.add(holder);
    }

    synchronized void restart(InetSocketAddress holder) {
      epochs.put(holder, 2L);
    }
  }

  private final TrackedBackend target = engine("target", 1);
  private final TrackedBackend other = engine("other", 2);
  private final List<TrackedBackend> engines = List.of(target, other);
  private final List<String> announcedEngines = new ArrayList<>();
  private final List<CacheStore> stores = new ArrayList<>();
  private ScriptedHolders holders;
  private DefaultEventLoop eventLoop;
  private CacheDirectory directory;
  private CachePlanner planner;

  private static InetSocketAddress address(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private static TrackedBackend engine(String id, int port) {
    return TrackedBackend.of(
        new Backend(id, "pool", address(port), "zone", 4, false, Map.of("model", 1L)));
  }

  @BeforeMethod
  public void start() {
    holders = new ScriptedHolders();
    announcedEngines.clear();
    stores.clear();
    stores.add(new CacheStore("store", STORE, "zone"));
    eventLoop = new DefaultEventLoop();
    BackendTable table =
        BackendTable.EMPTY.with(engines.stream().map(TrackedBackend::backend).toList());
    directory = new CacheDirectory(eventLoop, holders, () -> table, () -> stores);
    directory.start();
    directory.follow(true);
    planner = new CachePlanner(directory, (engine, parts) -> announcedEngines.add(engine));
    await(() -> !directory.stores().isEmpty());
    await(() -> engines.stream().allMatch(e -> directory.engine(e.backend().id()).isAvailable()));
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    eventLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + WAIT_NANOS;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "the condition did not come true in time");
      LockSupport.parkNanos(1_000_000);
    }
  }

  private HeldParts storeHeld() {
    return directory.stores().stream()
        .filter(store -> store.address().equals(STORE))
        .findFirst()
        .map(CacheDirectory.StoreView::held)
        .orElseGet(HeldParts::new);
  }

  private static boolean holds(HeldParts held, String namespace, String part) {
    return held.contains(HeldParts.keyOf(namespace, part), 0);
  }

  private void storeKeeps(String... parts) {
    for (String part : parts) {
      holders.addEvent(STORE, true, "1", part);
    }
    await(() -> holds(storeHeld(), "1", parts[parts.length - 1]));
  }

  private MissingPrefix need(TrackedBackend engine, long now) {
    return planner.missingPrefix(engine, planner.locate(engines, "1", PARTS, now), now);
  }

  private CacheTransfer plan(String namespace, long now) {
    return planner.plan(target, engines, planner.locate(engines, namespace, PARTS, now), now);
  }

  @Test
  public void partsInTheStoreAreFetchedThereAndNotSavedAgain() {
    storeKeeps("root", "deep");
    assertEquals(plan("1", 0), new CacheTransfer(STORE, null));
  }

  @Test
  public void promptsAreSpreadOverAllStoresAndFetchedFromTheOneThatKeepsThem() {
    InetSocketAddress second = address(10);
    stores.add(new CacheStore("second", second, "zone"));
    await(() -> directory.stores().size() == 2);
    Set<InetSocketAddress> destinations = new HashSet<>();
    for (int prompt = 0; prompt < 40; prompt++) {
      List<PromptPart> parts =
          List.of(new PromptPart("root", 10), new PromptPart("p" + prompt, 20), OWN);
      destinations.add(
          planner.plan(target, engines, planner.locate(engines, "1", parts, 0), 0).destination());
    }
    assertEquals(destinations, Set.of(STORE, second));
    holders.addEvent(second, true, "1", "root");
    holders.addEvent(second, true, "1", "deep");
    await(() -> need(other, 0).fetchable() == 3_000);
    assertEquals(plan("1", 0).source(), second);
  }

  @Test
  public void aPartWithoutThePrecedingOnesIsNotUsed() {
    storeKeeps("deep");
    assertEquals(need(other, 0), new MissingPrefix(0, 0, 3_000));
    assertEquals(
        plan("1", 0),
        new CacheTransfer(STORE, null),
        "the store may receive the first part in the meantime");
  }

  @Test
  public void partsOfAnotherNamespaceAreNotUsed() {
    storeKeeps("root", "deep");
    assertEquals(need(other, 0), new MissingPrefix(3_000, 0, 0));
    PrefixAvailability availability = planner.locate(engines, "2", PARTS, 0);
    assertEquals(planner.missingPrefix(other, availability, 0), new MissingPrefix(0, 0, 3_000));
    assertEquals(
        plan("2", 0),
        new CacheTransfer(STORE, STORE),
        "the store is the home of the parts of this namespace");
  }

  @Test
  public void partsAreFetchedFromTheHolderOfTheLongestPrefix() {
    storeKeeps("root");
    holders.addEvent(other.backend().address(), true, "1", "root");
    holders.addEvent(other.backend().address(), true, "1", "deep");
    await(() -> holds(directory.engine("other"), "1", "deep"));
    assertEquals(plan("1", 0).source(), other.backend().address());
    assertEquals(need(other, 0), new MissingPrefix(0, 0, 0));
  }

  @Test
  public void aPartIsSavedOnceAndExpectedWhereItIsComputed() {
    assertEquals(plan("1", 0), new CacheTransfer(STORE, STORE));
    assertEquals(plan("1", 100), new CacheTransfer(STORE, null));
    assertEquals(need(target, 100), new MissingPrefix(0, 0, 0));
    assertEquals(
        plan("1", 10_000), new CacheTransfer(STORE, STORE), "the expectation was never confirmed");
  }

  /** The engine may drop parts while the request waits there. */
  @Test
  public void theStoreIsTheSourceEvenIfTheEngineIsKnownToHoldAllParts() {
    storeKeeps("root", "deep");
    holders.addEvent(target.backend().address(), true, "1", "root");
    holders.addEvent(target.backend().address(), true, "1", "deep");
    await(() -> holds(directory.engine("target"), "1", "deep"));
    assertEquals(plan("1", 0).source(), STORE);
  }

  /** Such a node places requests itself while no relay responds. */
  @Test
  public void aNodeThatFollowsNoHoldersUsesTheHomeAsTheSource() {
    storeKeeps("root", "deep");
    directory.follow(false);
    await(() -> directory.stores().isEmpty());
    assertEquals(plan("1", 0), new CacheTransfer(STORE, null));
  }

  @Test
  public void partsThatOneEngineComputesWouldBeComputedTwiceElsewhere() {
    assertEquals(need(other, 0), new MissingPrefix(0, 0, 3_000));
    plan("1", 0);
    assertEquals(announcedEngines, List.of("target"));
    assertEquals(need(other, 1), new MissingPrefix(0, 3_000, 0));
    holders.addEvent(target.backend().address(), true, "1", "root");
    await(() -> directory.engine("target").isConfirmed(HeldParts.keyOf("1", "root")));
    assertEquals(need(other, 2), new MissingPrefix(1_000, 2_000, 0));
    plan("1", 3);
    assertEquals(announcedEngines, List.of("target"), "the parts are announced once");
  }

  @Test
  public void aStoreThatDoesNotRespondIsNotUsed() {
    storeKeeps("root", "deep");
    holders.setDown(STORE);
    await(() -> directory.stores().isEmpty());
    assertEquals(plan("1", 0), CacheTransfer.NONE);
  }

  @Test
  public void partsThatAHolderDropsOrLosesInARestartAreForgotten() {
    storeKeeps("root", "deep");
    holders.addEvent(STORE, false, "1", "deep");
    await(() -> !holds(storeHeld(), "1", "deep"));
    holders.restart(STORE);
    await(() -> !holds(storeHeld(), "1", "root"));
  }
}
