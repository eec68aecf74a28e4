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

/** Serves an {@link EngineModel} over HTTP; the model is confined to one event loop. */
public final class EngineServer implements Closeable {

  private static final AtomicLong INCARNATION_COUNTER = new AtomicLong();
  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
  private static final int MAX_HEADER_BYTES = 32 * 1024;
  private static final int MAX_CONNECTIONS = 16_384;

  private final EngineSettings settings;
  private final EventLoop eventLoop;
  private final Consumer<RunRecord> runListener;
  private final BlockHolderCounts holderCounts;
  private final long startNanos = System.nanoTime();
  private volatile EngineModel model;
  private volatile boolean frozen;
  private HttpServer server;
  private boolean stepping;

  private EngineServer(
      EngineSettings settings,
      EventLoop eventLoop,
      Consumer<RunRecord> runListener,
      BlockHolderCounts holderCounts) {
    this.holderCounts = holderCounts;
    this.settings = settings;
    this.eventLoop = eventLoop;
    this.runListener = runListener;
    this.model = newModel();
  }

  /**
   * Starts an engine.
   *
   * @param settings speed and size
   * @param address address to listen on
   * @param group event loops for connections, one of which runs the model
   * @param runListener receives the record of every attempt before it runs, on the engine's thread
   * @param holderCounts counts the holders of each block over all engines of this process
   */
  public static EngineServer start(
      EngineSettings settings,
      InetSocketAddress address,
      EventLoopGroup group,
      Consumer<RunRecord> runListener,
      BlockHolderCounts holderCounts) {
    EngineServer engine = new EngineServer(settings, group.next(), runListener, holderCounts);
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
    // The counter distinguishes incarnations created within the same millisecond.
    String incarnation =
        settings.id()
            + "-"
            + System.currentTimeMillis()
            + "-"
            + INCARNATION_COUNTER.incrementAndGet();
    return new EngineModel(
        settings,
        incarnation,
        RandomSource.XO_RO_SHI_RO_128_PP.create(incarnation.hashCode()),
        this::nowMicros,
        runListener,
        holderCounts);
  }

  private long nowMicros() {
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
  }

  /** Returns the bound address. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** Returns the settings. */
  public EngineSettings settings() {
    return settings;
  }

  /** Returns the number of running and queued attempts. Must not be called on the event loop. */
  public int activeAttempts() {
    return eventLoop.submit(() -> model.activeAttempts()).awaitUninterruptibly().getNow();
  }

  /**
   * Returns how many times the present incarnation reused a block for an owner other than the one
   * that stored it. Must not be called on the event loop.
   */
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

  /** Starts the step loop if it is idle and not frozen; must be called on the event loop. */
  void wake() {
    if (!stepping && !frozen) {
      step();
    }
  }

  private void step() {
    EngineModel current = model;
    long micros = current.startStep();
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

  /** Resumes computation after {@link #freeze}. */
  public void thaw() {
    eventLoop.execute(
        () -> {
          frozen = false;
          wake();
        });
  }

  /**
   * Starts draining: rejects new requests and reports it in the load reports.
   *
   * @return the incarnation that drains
   */
  public String drain() {
    EngineOrder order = new EngineOrder(Long.MAX_VALUE, EngineOrder.Action.LEAVE, "", "");
    return eventLoop
        .submit(
            () -> {
              model.execute(order);
              return model.incarnation();
            })
        .awaitUninterruptibly()
        .getNow();
  }

  /**
   * Loads another weights version of a model immediately. Cached blocks of the old version stay, so
   * that their reuse is detected as foreign reuse.
   */
  public void loadWeights(String modelName, String version) {
    EngineOrder order =
        new EngineOrder(Long.MAX_VALUE, EngineOrder.Action.LOAD_WEIGHTS, modelName, version);
    eventLoop.submit(() -> model.execute(order)).awaitUninterruptibly();
  }

  /** Closes all connections while the engine keeps running its attempts. */
  public void dropConnections() {
    server.dropConnections();
  }

  /** Aborts open streams, loses all state and restarts empty with a new incarnation. */
  public void crash() {
    eventLoop.execute(
        () -> {
          model.abortAll("the engine crashed");
          model = newModel();
          stepping = false;
        });
  }

  @Override
  public void close() {
    server.close();
  }
}
