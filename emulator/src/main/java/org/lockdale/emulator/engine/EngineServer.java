package org.lockdale.emulator.engine;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.apache.commons.rng.simple.RandomSource;
import org.lockdale.http.HttpServer;
import org.lockdale.http.HttpServerSettings;

/** Serves an {@link EngineModel} over HTTP; the model lives on one event loop. */
public final class EngineServer implements Closeable {

  private static final AtomicLong NEXT_LIFE = new AtomicLong();
  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
  private static final int MAX_HEADER_BYTES = 32 * 1024;
  private static final int MAX_CONNECTIONS = 16_384;

  private final EngineSettings settings;
  private final EventLoop eventLoop;
  private final Consumer<RunRecord> ledger;
  private final CacheCensus census;
  private final long startNanos = System.nanoTime();
  private volatile EngineModel model;
  private volatile boolean frozen;
  private HttpServer server;
  private boolean stepping;

  private EngineServer(
      EngineSettings settings,
      EventLoop eventLoop,
      Consumer<RunRecord> ledger,
      CacheCensus census) {
    this.census = census;
    this.settings = settings;
    this.eventLoop = eventLoop;
    this.ledger = ledger;
    this.model = newModel();
  }

  /**
   * Starts an engine.
   *
   * @param settings speed and size
   * @param address where to listen
   * @param group event loops for connections, one of which runs the model
   * @param ledger hears of every attempt that runs, on the engine's thread
   * @param census counts the blocks of all engines of this process
   */
  public static EngineServer start(
      EngineSettings settings,
      InetSocketAddress address,
      EventLoopGroup group,
      Consumer<RunRecord> ledger,
      CacheCensus census) {
    EngineServer engine = new EngineServer(settings, group.next(), ledger, census);
    HttpServerSettings limits =
        new HttpServerSettings(
            address,
            MAX_HEADER_BYTES,
            MAX_BODY_BYTES,
            Duration.ofSeconds(30),
            Duration.ofMinutes(10),
            MAX_CONNECTIONS);
    engine.server = HttpServer.start(limits, group, new EngineHttpHandler(engine));
    return engine;
  }

  private EngineModel newModel() {
    // Two lives in one process within a millisecond must differ as well.
    String incarnation =
        settings.id() + "-" + System.currentTimeMillis() + "-" + NEXT_LIFE.incrementAndGet();
    return new EngineModel(
        settings,
        incarnation,
        RandomSource.XO_RO_SHI_RO_128_PP.create(incarnation.hashCode()),
        this::nowMicros,
        ledger,
        census);
  }

  private long nowMicros() {
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
  }

  /** Returns the address that was bound. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** Returns the settings. */
  public EngineSettings settings() {
    return settings;
  }

  /** Returns attempts that run or wait; may be called anywhere. */
  public int activeAttempts() {
    return eventLoop.submit(() -> model.activeAttempts()).awaitUninterruptibly().getNow();
  }

  /** Returns how many blocks the present life reused for another owner; may be called anywhere. */
  public long foreignReuses() {
    return eventLoop.submit(() -> model.foreignReuses()).awaitUninterruptibly().getNow();
  }

  /** Returns the model, to be used on {@link #eventLoop} only. */
  EngineModel model() {
    return model;
  }

  EventLoop eventLoop() {
    return eventLoop;
  }

  /** Makes sure that steps go on while there is work; to be called on the event loop. */
  void wake() {
    if (!stepping && !frozen) {
      step();
    }
  }

  private void step() {
    EngineModel current = model;
    long micros = current.beginStep();
    stepping = micros >= 0;
    if (stepping) {
      eventLoop.schedule(() -> completeStep(current), micros, TimeUnit.MICROSECONDS);
    }
  }

  private void completeStep(EngineModel planned) {
    if (planned != model || frozen) {
      stepping = false;
      return;
    }
    planned.completeStep();
    step();
  }

  /** Stops all computation, as a hung accelerator does; connections stay open. */
  public void freeze() {
    frozen = true;
  }

  /** Goes on after {@link #freeze}. */
  public void thaw() {
    eventLoop.execute(
        () -> {
          frozen = false;
          wake();
        });
  }

  /**
   * Takes no new work from now on, and says so in its load reports.
   *
   * @return the incarnation that leaves
   */
  public String leave() {
    EngineOrder order = new EngineOrder(Long.MAX_VALUE, EngineOrder.Action.LEAVE, "", "");
    return eventLoop
        .submit(
            () -> {
              model.order(order);
              return model.incarnation();
            })
        .awaitUninterruptibly()
        .getNow();
  }

  /** Loads other weights of a model at once; cached blocks of the old ones stay, as a trap. */
  public void loadWeights(String modelName, String version) {
    EngineOrder order =
        new EngineOrder(Long.MAX_VALUE, EngineOrder.Action.LOAD_WEIGHTS, modelName, version);
    eventLoop.submit(() -> model.order(order)).awaitUninterruptibly();
  }

  /** Breaks all connections while the engine goes on with its work. */
  public void dropConnections() {
    server.dropConnections();
  }

  /** Loses all state and comes back empty with a new incarnation; open streams break off. */
  public void crash() {
    eventLoop.execute(
        () -> {
          model.breakAll("the engine crashed");
          model = newModel();
          stepping = false;
        });
  }

  @Override
  public void close() {
    server.close();
  }
}
