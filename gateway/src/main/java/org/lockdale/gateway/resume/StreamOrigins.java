package org.lockdale.gateway.resume;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.lockdale.coordination.time.Time;
import org.tinylog.Logger;

/**
 * Records where streams begin and finds out where one began that a caller takes up again, at this
 * node or another one. While a pool is known to have a single software version, which is nearly
 * always, its origins stay at this node; as soon as it may have several, they are replicated to
 * other nodes, which know them when this one is gone, and to the store, which knows them when all
 * nodes are. Thread-safe.
 */
public final class StreamOrigins {

  /** Bounds the memory where streams begin faster than their origins expire. */
  private static final int MAX_UNREPLICATED = 50_000;

  private record Unreplicated(StreamId id, long atMillis) {}

  private final OriginTable table;
  private final PoolVersions versions;
  private final OriginPeers peers;
  private final OriginRecorder recorder;
  private final OriginArchive archive;
  private final Time time;

  /** Origins that other nodes do not keep yet, by pool. */
  private final Map<String, Queue<Unreplicated>> unreplicated = new ConcurrentHashMap<>();

  private final AtomicInteger unreplicatedCount = new AtomicInteger();

  /**
   * Creates an instance.
   *
   * @param table origins that this node knows
   * @param versions software versions of the pools
   * @param peers other nodes
   * @param recorder stores origins
   * @param archive finds stored origins
   * @param time clock
   */
  public StreamOrigins(
      OriginTable table,
      PoolVersions versions,
      OriginPeers peers,
      OriginRecorder recorder,
      OriginArchive archive,
      Time time) {
    this.table = table;
    this.versions = versions;
    this.peers = peers;
    this.recorder = recorder;
    this.archive = archive;
    this.time = time;
  }

  /**
   * Records that a stream begins; to be called before its first event is sent to the caller.
   *
   * @param id id of the stream
   * @param origin where it begins
   * @param isOnlyPool whether streams of its route begin in no other pool
   */
  public void recordStart(StreamId id, StreamOrigin origin, boolean isOnlyPool) {
    table.put(id, origin);
    boolean isUnambiguous = isOnlyPool && hasSoleVersion(origin.pool());
    if (isUnambiguous && unreplicatedCount.get() < MAX_UNREPLICATED) {
      unreplicated
          .computeIfAbsent(origin.pool(), pool -> new ConcurrentLinkedQueue<>())
          .add(new Unreplicated(id, time.monotonicMillis()));
      unreplicatedCount.incrementAndGet();
    } else {
      keep(Map.of(id, origin));
    }
  }

  private boolean hasSoleVersion(String pool) {
    return versions.soleVersion(pool).isPresent();
  }

  private void keep(Map<StreamId, StreamOrigin> origins) {
    peers.replicate(origins);
    recorder.add(origins);
  }

  /**
   * Replicates the origins of streams in pools that may have several software versions by now; to
   * be called periodically by one thread.
   */
  public void tick() {
    versions.tick();
    unreplicated.forEach(
        (pool, queue) -> {
          removeExpired(queue);
          if (!queue.isEmpty() && !hasSoleVersion(pool)) {
            replicateAll(queue);
          }
        });
  }

  private void removeExpired(Queue<Unreplicated> queue) {
    long now = time.monotonicMillis();
    Unreplicated oldest = queue.peek();
    while (oldest != null && now - oldest.atMillis() > OriginTable.RETENTION_MILLIS) {
      queue.remove();
      unreplicatedCount.decrementAndGet();
      oldest = queue.peek();
    }
  }

  private void replicateAll(Queue<Unreplicated> queue) {
    long now = time.monotonicMillis();
    Map<StreamId, StreamOrigin> origins = new HashMap<>();
    Map<StreamId, StreamOrigin> recent = new HashMap<>();
    for (Unreplicated next = queue.poll(); next != null; next = queue.poll()) {
      unreplicatedCount.decrementAndGet();
      StreamId id = next.id();
      table.get(id).ifPresent(origin -> origins.put(id, origin));
      if (now - next.atMillis() <= OriginRecorder.COVERED_MILLIS) {
        table.get(id).ifPresent(origin -> recent.put(id, origin));
      }
    }
    peers.replicate(origins);
    recorder.add(recent);
  }

  /**
   * Finds out where a stream began. Where no node keeps its origin, it began at the sole version of
   * its pool if there is one, and else where the store tells. A node that no other one answers does
   * not rely on the sole version: it may have missed one that came a moment ago.
   *
   * @param onlyPool the pool in which the streams of the route begin, or empty if there are several
   * @return the origin, or empty if it can't be known; the future doesn't fail
   */
  public CompletableFuture<Optional<StreamOrigin>> find(StreamId id, Optional<String> onlyPool) {
    Optional<StreamOrigin> known = table.get(id);
    return known.isPresent()
        ? CompletableFuture.completedFuture(known)
        : peers.ask(id).thenCompose(reply -> originOf(id, reply, onlyPool));
  }

  private CompletableFuture<Optional<StreamOrigin>> originOf(
      StreamId id, OriginReply reply, Optional<String> onlyPool) {
    if (reply instanceof OriginReply.Kept kept) {
      return CompletableFuture.completedFuture(Optional.of(kept.origin()));
    }
    CompletableFuture<Optional<StreamOrigin>> sole =
        reply instanceof OriginReply.NotKept
            ? findSole(onlyPool)
            : CompletableFuture.completedFuture(Optional.empty());
    return sole.thenCompose(found -> orStored(id, found))
        .whenComplete((found, none) -> log(reply, onlyPool, found));
  }

  private CompletableFuture<Optional<StreamOrigin>> orStored(
      StreamId id, Optional<StreamOrigin> sole) {
    return sole.isPresent() ? CompletableFuture.completedFuture(sole) : archive.find(id);
  }

  private void log(OriginReply reply, Optional<String> onlyPool, Optional<StreamOrigin> origin) {
    Logger.info(
        "event=stream-origin-not-kept reply={} {} origin={}",
        reply.getClass().getSimpleName(),
        onlyPool.map(versions::describe).orElse("pools=several"),
        origin.map(StreamOrigin::softwareVersion).orElse("unknown"));
  }

  /**
   * Finds out where every stream of a pool must have begun, by versions that are read from the
   * store now.
   *
   * @param onlyPool the pool in which the streams of the route begin, or empty if there are several
   * @return the origin, or empty if there are several versions; the future doesn't fail
   */
  public CompletableFuture<Optional<StreamOrigin>> findSole(Optional<String> onlyPool) {
    if (onlyPool.flatMap(versions::soleVersion).isEmpty()) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    String pool = onlyPool.get();
    return archive
        .versions()
        .thenApply(
            read ->
                read.flatMap(records -> versions.soleVersion(pool, records))
                    .map(version -> new StreamOrigin(pool, version)));
  }
}
