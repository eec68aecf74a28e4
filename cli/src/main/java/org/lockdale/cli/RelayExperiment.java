package org.lockdale.cli;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.lockdale.emulator.engine.EngineSettings;
import org.lockdale.emulator.history.HistoryEvent;
import org.lockdale.emulator.history.HistoryRecorder;
import org.lockdale.emulator.load.GiftCardWorkload;
import org.lockdale.emulator.load.LoadGenerator;
import org.lockdale.emulator.load.PlannedRequest;
import org.lockdale.router.node.RouterNode;

/** Measures the latency that a node adds to requests and its cost of relaying a token. */
final class RelayExperiment {

  /** Large tenants of the example configuration; their limits together admit all streams. */
  private static final String[] TENANTS = {"sm-malls", "puregold", "sari-luzon"};

  private static final int ENGINES = 8;
  private static final long STEP_MICROS = 33_000;
  private static final int MAX_RUNNING = 4_096;
  private static final int REQUESTS_PER_DIRECT_REQUEST = 4;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long MAX_MICROS = 60_000_000;

  private final LocalCluster cluster;
  private final LoadGenerator load;
  private final HistoryRecorder history = new HistoryRecorder();
  private final NodeThreadMeter meter = new NodeThreadMeter();

  /**
   * Times to first token, in microseconds, of requests sent directly to engines and through the
   * node.
   *
   * @param requests number of requests through the node that got a first token
   */
  record AddedLatency(
      double directP50, double nodeP50, double directP99, double nodeP99, long requests) {}

  /**
   * Cost of relaying streams.
   *
   * @param streams number of concurrent streams
   * @param tokens number of tokens of the streams that completed
   * @param tokensPerCoreSecond tokens relayed in one second of processor time of the node
   * @param bytesPerToken bytes the node allocates for each token
   */
  record RelayCost(int streams, long tokens, double tokensPerCoreSecond, double bytesPerToken) {}

  RelayExperiment(LocalCluster cluster) {
    this.cluster = cluster;
    this.load = new LoadGenerator(cluster.eventLoops(), history);
  }

  static Deployment deployment() {
    return Deployment.find("gift-cards")
        .withEngines(List.of("pasig-a"), List.of(ENGINES), RelayExperiment::withFastSteps);
  }

  private static EngineSettings withFastSteps(EngineSettings settings) {
    return settings.withFastSteps(STEP_MICROS, MAX_RUNNING);
  }

  private static PlannedRequest request(long number, int tokens) {
    String tenant = TENANTS[(int) Math.floorMod(number, (long) TENANTS.length)];
    return new PlannedRequest(
        tenant,
        "key-" + tenant,
        GiftCardWorkload.MODEL,
        "balance-check",
        Map.of("service", "balance-check"),
        "rules ".repeat(200),
        "request " + number,
        tokens,
        true,
        null);
  }

  /**
   * Sends requests through the node at a constant rate and, with every fourth of them, another one
   * directly to an engine; returns the times to first token of both.
   */
  AddedLatency measureLatency(int requestsPerSecond, int seconds, int tokens)
      throws InterruptedException {
    InetSocketAddress node = cluster.callerAddresses().get(0);
    Histogram direct = new Histogram(MAX_MICROS, 3);
    Histogram relayed = new Histogram(MAX_MICROS, 3);
    List<CompletableFuture<HistoryEvent.Call>> calls = new ArrayList<>();
    int total = requestsPerSecond * seconds;
    long start = System.nanoTime();
    for (int number = 0; number < total; number++) {
      pace(start, number, requestsPerSecond);
      calls.add(sendRecordingFirstToken(number, tokens, node, relayed));
      if (number % REQUESTS_PER_DIRECT_REQUEST == 0) {
        InetSocketAddress engine =
            cluster.engines().get(number / REQUESTS_PER_DIRECT_REQUEST % ENGINES).address();
        calls.add(sendRecordingFirstToken(-1 - number, tokens, engine, direct));
      }
    }
    CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new)).join();
    return new AddedLatency(
        direct.getValueAtPercentile(50),
        relayed.getValueAtPercentile(50),
        direct.getValueAtPercentile(99),
        relayed.getValueAtPercentile(99),
        relayed.getTotalCount());
  }

  private static void pace(long start, int number, int perSecond) throws InterruptedException {
    long due = start + (long) (number * NANOS_PER_SECOND / perSecond);
    long wait = due - System.nanoTime();
    if (wait > 0) {
      TimeUnit.NANOSECONDS.sleep(wait);
    }
  }

  private CompletableFuture<HistoryEvent.Call> sendRecordingFirstToken(
      long number, int tokens, InetSocketAddress address, Histogram histogram) {
    return load.send(request(number, tokens), number, address)
        .whenComplete(
            (call, failure) -> {
              if (call.firstTokenMicros() >= 0) {
                synchronized (histogram) {
                  histogram.recordValue(Math.min(MAX_MICROS, call.firstTokenMicros()));
                }
              }
            });
  }

  /** Opens concurrent streams through the node, waits until all have ended and returns the cost. */
  RelayCost measureRelay(int streams, int tokens) {
    InetSocketAddress node = cluster.callerAddresses().get(0);
    NodeThreadMeter.Usage before = meter.read(RouterNode.REQUEST_THREADS);
    List<CompletableFuture<HistoryEvent.Call>> calls = new ArrayList<>();
    for (int stream = 0; stream < streams; stream++) {
      calls.add(load.send(request(stream, tokens), stream, node));
    }
    CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new)).join();
    NodeThreadMeter.Usage used = meter.read(RouterNode.REQUEST_THREADS).minus(before);
    long relayed =
        calls.stream()
            .map(CompletableFuture::join)
            .filter(call -> call.end() == HistoryEvent.CallEnd.COMPLETE)
            .mapToLong(HistoryEvent.Call::expectedTokens)
            .sum();
    return new RelayCost(
        streams,
        relayed,
        relayed * NANOS_PER_SECOND / used.processorNanos(),
        (double) used.allocatedBytes() / relayed);
  }
}
