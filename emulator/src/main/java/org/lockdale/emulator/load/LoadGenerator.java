package org.lockdale.emulator.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.lockdale.emulator.history.HistoryEvent;
import org.lockdale.emulator.history.HistoryRecorder;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpRequestMessage;
import org.lockdale.openai.CompletionRequest;
import org.lockdale.openai.HeaderNames;

/**
 * Sends a workload to nodes in an open loop, that is at a given rate whether or not earlier
 * requests have ended, with exponentially distributed times between requests.
 */
public final class LoadGenerator {

  /**
   * Maximum time until all calls have ended after the last one was sent: several times the longest
   * deadline of the workloads.
   */
  private static final long MAX_COMPLETION_WAIT_SECONDS = 120;

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long RETRY_DELAY_MILLIS = 700;
  private static final int MAX_SENDS = 6;

  private final EventLoopGroup group;
  private final HttpClient client;
  private final HistoryRecorder history;

  /** Creates a generator that records its calls in a history. */
  public LoadGenerator(EventLoopGroup group, HistoryRecorder history) {
    this.group = group;
    this.client = new HttpClient(group);
    this.history = history;
  }

  /**
   * Sends requests for a time and waits until all have ended.
   *
   * @param workload source of requests
   * @param nodes addresses of the nodes, used in turn
   * @param requestsPerSecond mean rate of requests
   * @param seconds time during which requests are sent
   * @param seed seed of all random choices
   * @return number of requests sent
   * @throws IllegalStateException if calls do not end in time, or a call fails unexpectedly
   */
  public int run(
      Workload workload,
      List<InetSocketAddress> nodes,
      double requestsPerSecond,
      double seconds,
      long seed)
      throws InterruptedException {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    List<CompletableFuture<HistoryEvent.Call>> calls = new ArrayList<>();
    long start = System.nanoTime();
    double dueNanos = 0;
    double endNanos = seconds * NANOS_PER_SECOND;
    while (dueNanos < endNanos) {
      long waitNanos = (long) dueNanos - (System.nanoTime() - start);
      if (waitNanos > 0) {
        TimeUnit.NANOSECONDS.sleep(waitNanos);
      }
      int number = calls.size();
      calls.add(sendWithRetries(workload.next(random, number), number, nodes, MAX_SENDS));
      dueNanos += -Math.log(1 - random.nextDouble()) / requestsPerSecond * NANOS_PER_SECOND;
    }
    awaitCompletion(calls);
    return calls.size();
  }

  /**
   * Waits until all calls have ended; on timeout, throws an exception that lists the open calls.
   */
  private static void awaitCompletion(List<CompletableFuture<HistoryEvent.Call>> calls)
      throws InterruptedException {
    try {
      CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
          .get(MAX_COMPLETION_WAIT_SECONDS, TimeUnit.SECONDS);
    } catch (TimeoutException timeout) {
      List<Integer> open =
          IntStream.range(0, calls.size())
              .filter(number -> !calls.get(number).isDone())
              .boxed()
              .toList();
      throw new IllegalStateException(
          "calls that have not ended "
              + MAX_COMPLETION_WAIT_SECONDS
              + " s after the last was sent: "
              + open,
          timeout);
    } catch (ExecutionException failure) {
      throw new IllegalStateException("a call failed unexpectedly: " + failure, failure.getCause());
    }
  }

  /** Sends a request once; the future completes when the call has ended. */
  public CompletableFuture<HistoryEvent.Call> send(
      PlannedRequest request, long number, InetSocketAddress node) {
    CallerExchange exchange = new CallerExchange(request, number, history);
    client.send(group.next(), node, messageOf(request), exchange);
    return exchange.done();
  }

  /**
   * Sends a request and retries it with the same idempotency key until its response is complete. A
   * request without a key is sent once.
   *
   * @param maxSends maximum number of times to send it
   */
  public CompletableFuture<HistoryEvent.Call> sendWithRetries(
      PlannedRequest request, long number, List<InetSocketAddress> nodes, int maxSends) {
    InetSocketAddress node = nodes.get((int) ((number + maxSends) % nodes.size()));
    return send(request, number, node)
        .thenCompose(
            call -> {
              boolean complete = call.end() == HistoryEvent.CallEnd.COMPLETE;
              if (complete || maxSends <= 1 || request.idempotencyKey() == null) {
                return CompletableFuture.completedFuture(call);
              }
              CompletableFuture<HistoryEvent.Call> retried = new CompletableFuture<>();
              group
                  .next()
                  .schedule(
                      () ->
                          sendWithRetries(request, number, nodes, maxSends - 1)
                              .thenAccept(retried::complete),
                      RETRY_DELAY_MILLIS,
                      TimeUnit.MILLISECONDS);
              return retried;
            });
  }

  private static HttpRequestMessage messageOf(PlannedRequest request) {
    HttpRequestMessage message =
        HttpRequestMessage.json(
                HttpMethod.POST, CompletionRequest.Kind.CHAT.path(), bodyOf(request))
            .with("authorization", "Bearer " + request.apiKey());
    if (request.idempotencyKey() != null) {
      message.with(HeaderNames.IDEMPOTENCY_KEY, request.idempotencyKey());
    }
    return message;
  }

  /** Returns the JSON body of a request. */
  public static byte[] bodyOf(PlannedRequest request) {
    ObjectNode root = MAPPER.createObjectNode().put("model", request.model());
    ArrayNode messages = root.putArray("messages");
    messages.addObject().put("role", "system").put("content", request.systemPrompt());
    messages.addObject().put("role", "user").put("content", request.userPrompt());
    root.put("max_tokens", request.maxTokens()).put("stream", request.stream());
    ObjectNode metadata = root.putObject("metadata");
    request.metadata().forEach(metadata::put);
    try {
      return MAPPER.writeValueAsBytes(root);
    } catch (JsonProcessingException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }
}
