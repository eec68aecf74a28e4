package org.lockdale.cli;

import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BrokenBarrierException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.lockdale.emulator.history.HistoryChecker;
import org.lockdale.emulator.history.HistoryEvent;
import org.lockdale.emulator.history.HistoryRecorder;
import org.lockdale.emulator.history.Verdict;
import org.lockdale.emulator.platform.PlatformFaults;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpReply;
import org.lockdale.http.HttpRequestMessage;
import org.lockdale.router.node.RouterNode;
import org.lockdale.router.operator.OperatorApi;
import org.testng.annotations.Test;

/** Operators edit one label concurrently at different nodes while the platform loses responses. */
public final class ConfigurationRaceTest {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int EDITS = 12;
  private static final long SAMPLE_MILLIS = 10;
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final HistoryRecorder history = new HistoryRecorder();
  private final Set<Long> accepted = new HashSet<>();
  private int conflicts;

  /**
   * Each version is accepted once and comes into force at all nodes in time, and no node reverts to
   * an older version.
   */
  @Test
  public void racingOperators() throws InterruptedException {
    try (LocalCluster cluster = LocalCluster.start(Deployment.find("gift-cards"), 1)) {
      HttpClient client = new HttpClient(cluster.eventLoops());
      ScheduledExecutorService sampler = Executors.newSingleThreadScheduledExecutor();
      sampler.scheduleAtFixedRate(() -> sample(cluster), 0, SAMPLE_MILLIS, TimeUnit.MILLISECONDS);
      cluster.platform().setFaults(new PlatformFaults(false, 0, 300, 0, 1_000));
      ExecutorService threads = Executors.newFixedThreadPool(cluster.nodes().size());
      CyclicBarrier allHaveRead = new CyclicBarrier(cluster.nodes().size());
      List<CompletableFuture<Void>> operators = new ArrayList<>();
      for (RouterNode node : cluster.nodes()) {
        operators.add(CompletableFuture.runAsync(() -> edit(client, node, allHaveRead), threads));
      }
      operators.forEach(CompletableFuture::join);
      threads.shutdown();
      long newest = accepted.stream().mapToLong(Long::longValue).max().orElseThrow();
      for (RouterNode node : cluster.nodes()) {
        ProcessCluster.await(
            "the newest version is in force",
            () -> node.blackboard().configuration().value().version() >= newest);
      }
      sampler.shutdown();
      assertTrue(sampler.awaitTermination(10, TimeUnit.SECONDS));
      sample(cluster);
      Verdict verdict = HistoryChecker.check(history.events());
      assertTrue(verdict.passed(), verdict.violations().toString());
      assertTrue(conflicts > 0, "no edit conflicted");
    }
  }

  private void sample(LocalCluster cluster) {
    for (RouterNode node : cluster.nodes()) {
      history.add(
          new HistoryEvent.ConfigurationInForce(
              node.callerAddress().toString(),
              node.blackboard().configuration().value().version(),
              history.nowMicros()));
    }
  }

  /**
   * Submits edits, each after all operators have read the configuration. Without that barrier they
   * edit one after the other on a loaded machine, and no conflict occurs.
   */
  private void edit(HttpClient client, RouterNode node, CyclicBarrier allHaveRead) {
    for (int edit = 0; edit < EDITS; edit++) {
      JsonNode configuration = read(client, node);
      long base = configuration.path("version").asLong();
      await(allHaveRead);
      HttpReply reply = submitEdit(client, node, base, "value-" + edit);
      recordResponse(base, reply);
    }
  }

  private static void await(CyclicBarrier barrier) {
    try {
      barrier.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    } catch (InterruptedException | BrokenBarrierException | TimeoutException stopped) {
      throw new AssertionError("another operator did not reach the barrier", stopped);
    }
  }

  private synchronized void recordResponse(long base, HttpReply reply) {
    if (reply.status() == 200) {
      assertTrue(accepted.add(base + 1), "version " + (base + 1) + " was accepted twice");
      history.add(new HistoryEvent.ConfigurationAccepted(base + 1, history.nowMicros()));
    } else if (reply.status() == 409) {
      conflicts++;
      assertTrue(reply.bodyText().contains("is newer"), reply.bodyText());
    }
  }

  private static JsonNode read(HttpClient client, RouterNode node) {
    HttpReply reply =
        client
            .exchange(
                node.operatorAddress(), HttpRequestMessage.get(OperatorApi.CONFIGURATION), TIMEOUT)
            .join();
    try {
      return MAPPER.readTree(reply.body());
    } catch (IOException malformed) {
      throw new AssertionError(malformed);
    }
  }

  private static HttpReply submitEdit(HttpClient client, RouterNode node, long base, String value) {
    ObjectNode edit = MAPPER.createObjectNode().put("baseVersion", base).put("author", "racer");
    ObjectNode resource = edit.putArray("resources").addObject();
    resource.put("apiVersion", "lockdale/v1").put("kind", "Engine");
    ObjectNode metadata = resource.putObject("metadata").put("name", "llm-01");
    metadata.putObject("labels").put("note", value);
    return client
        .exchange(
            node.operatorAddress(),
            HttpRequestMessage.json(
                HttpMethod.POST,
                OperatorApi.CONFIGURATION,
                edit.toString().getBytes(StandardCharsets.UTF_8)),
            TIMEOUT)
        .join();
  }
}
