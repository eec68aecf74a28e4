package org.lockdale.gateway.backend;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** All backends with a record in the shared store, by pool. Immutable. */
public final class BackendTable {

  /** The table without backends. */
  public static final BackendTable EMPTY = new BackendTable(Map.of(), Map.of());

  /** Maximum number of incarnations that are remembered as gone; the oldest are dropped. */
  private static final int MAX_GONE = 256;

  private final Map<String, TrackedBackend> byId;

  /** Incarnations whose records were removed, by id. */
  private final Map<String, TrackedBackend> gone;

  private final Map<String, TrackedBackend> byServer = new HashMap<>();
  private final Map<String, List<TrackedBackend>> byPool = new HashMap<>();

  private BackendTable(Map<String, TrackedBackend> byId, Map<String, TrackedBackend> gone) {
    this.byId = byId;
    this.gone = gone;
    byId.values()
        .forEach(
            tracked -> {
              byServer.put(tracked.backend().incarnation().server(), tracked);
              byPool
                  .computeIfAbsent(tracked.backend().pool(), name -> new ArrayList<>())
                  .add(tracked);
            });
  }

  /** Returns a table of newer records that keeps the state learned about each incarnation. */
  public BackendTable with(Collection<Backend> records) {
    Map<String, TrackedBackend> newer = new HashMap<>();
    for (Backend backend : records) {
      TrackedBackend before = byId.get(backend.id());
      newer.put(backend.id(), before == null ? track(backend) : before.with(backend));
    }
    return new BackendTable(newer, goneWith(newer.keySet()));
  }

  private Map<String, TrackedBackend> goneWith(Set<String> present) {
    Map<String, TrackedBackend> all = new LinkedHashMap<>(gone);
    all.keySet().removeAll(present);
    for (TrackedBackend tracked : byId.values()) {
      if (!present.contains(tracked.backend().id())) {
        all.put(tracked.backend().id(), tracked);
      }
    }
    Iterator<String> oldest = all.keySet().iterator();
    for (int excess = all.size() - MAX_GONE; excess > 0; excess--) {
      oldest.next();
      oldest.remove();
    }
    return all;
  }

  private TrackedBackend track(Backend backend) {
    TrackedBackend former = byServer.get(backend.incarnation().server());
    return former == null ? TrackedBackend.of(backend) : former.nextIncarnation(backend);
  }

  /** Returns whether another table holds equal records. */
  public boolean sameRecordsAs(BackendTable other) {
    if (byId.size() != other.byId.size()) {
      return false;
    }
    for (TrackedBackend tracked : byId.values()) {
      TrackedBackend counterpart = other.byId.get(tracked.backend().id());
      if (counterpart == null || !counterpart.backend().equals(tracked.backend())) {
        return false;
      }
    }
    return true;
  }

  /** Returns the backends of a pool; empty where there are none. */
  public List<TrackedBackend> ofPool(String pool) {
    return byPool.getOrDefault(pool, List.of());
  }

  /** Returns the backend for the text form of an incarnation, or null where it has no record. */
  public @Nullable TrackedBackend find(String id) {
    return byId.get(id);
  }

  /**
   * Returns the backend for a name received from another node, or null where it has no record.
   * Nodes of an earlier version send the id of the server without a start time; it denotes the
   * present incarnation.
   */
  public @Nullable TrackedBackend resolve(String name) {
    TrackedBackend exact = byId.get(name);
    boolean lacksStartTime = Incarnation.parse(name).startedAtMillis().isEmpty();
    return exact == null && lacksStartTime ? byServer.get(name) : exact;
  }

  /**
   * Returns whether an incarnation whose record was removed was draining, so that it left as
   * planned. It may announce this in a response that is read after the removal.
   */
  public boolean hasLeft(String id) {
    TrackedBackend tracked = gone.get(id);
    return tracked != null && tracked.isDraining();
  }

  /**
   * Returns whether another incarnation of the server has a record now in place of an incarnation
   * that had one. Start times don't decide this, as the clock of a server may be set back.
   */
  public boolean isReplaced(Incarnation former) {
    TrackedBackend present = byServer.get(former.server());
    return present != null
        && (former.isBefore(present.backend().incarnation())
            || gone.containsKey(former.toString()));
  }

  /** Returns the ids of all backends. */
  public Set<String> ids() {
    return Set.copyOf(byId.keySet());
  }

  /** Returns all backends. */
  public Collection<TrackedBackend> all() {
    return byId.values();
  }
}
