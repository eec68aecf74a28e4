package org.lockdale.router.request;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.lockdale.http.HttpCallException;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;
import org.lockdale.http.HttpRequestMessage;
import org.lockdale.http.HttpResponseListener;
import org.lockdale.http.HttpServer;
import org.lockdale.http.HttpServerSettings;
import org.lockdale.http.ServerSentEventDecoder;
import org.lockdale.openai.CompletionRequest;
import org.lockdale.openai.HeaderNames;
import org.lockdale.router.engine.AttemptMessage;
import org.lockdale.router.engine.EngineActivity;
import org.lockdale.router.engine.EngineClient;
import org.lockdale.router.engine.EngineLoad;
import org.lockdale.router.engine.EngineView;
import org.lockdale.router.placement.Placement;
import org.lockdale.router.policy.PolicySet;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Checks that what belongs to a response of an attempt, or to an attempt that ends, doesn't act on
 * what follows it.
 */
public final class EngineAttemptTest {

  private static final int EVENT_COUNT = 6;
  private static final String ATTEMPT = "attempt-1";
  private static final String INCARNATION = "incarnation-1";
  private static final String FIRST_EVENT = "id: 0\ndata: 0\n\n";
  private static final long LONG_TOKEN_TIMEOUT_MILLIS = 10_000;

  /** Shorter than the time for which the response to a cancellation is awaited. */
  private static final long SHORT_TOKEN_TIMEOUT_MILLIS = 100;

  private final AtomicInteger resumes = new AtomicInteger();
  private CompletableFuture<AttemptResult> result;
  private EngineAttempt attempt;
  private long tokenTimeoutMillis;
  private boolean respondsToCancel;

  /** Number of responses that end with silence, the first of them after the first event. */
  private int silentResponses;

  private EventLoopGroup group;
  private HttpClient client;
  private HttpServer engine;
  private HttpServer node;

  /** Passes requests to a function. */
  private record Handler(java.util.function.Consumer<HttpExchange> function)
      implements HttpHandler {
    @Override
    public void handle(HttpExchange exchange) {
      function.accept(exchange);
    }

    @Override
    public HttpReply renderProtocolError(HttpProtocolError error) {
      return HttpReply.empty(error.status());
    }
  }

  @BeforeMethod
  public void start() {
    resumes.set(0);
    result = new CompletableFuture<>();
    tokenTimeoutMillis = LONG_TOKEN_TIMEOUT_MILLIS;
    respondsToCancel = true;
    silentResponses = 0;
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    client = new HttpClient(group);
    engine = serve(this::respond);
    node = serve(this::attempt);
  }

  private HttpServer serve(java.util.function.Consumer<HttpExchange> function) {
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    return HttpServer.start(HttpServerSettings.forAddress(anyPort), group, new Handler(function));
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    node.close();
    engine.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static String events(int from) {
    return IntStream.range(from, EVENT_COUNT)
        .mapToObj(id -> "id: " + id + "\ndata: " + id + "\n\n")
        .collect(Collectors.joining());
  }

  private void respond(HttpExchange exchange) {
    if (exchange.path().endsWith("/cancel")) {
      if (respondsToCancel) {
        exchange.reply(HttpReply.empty(404));
      }
      return;
    }
    HttpHeaders headers =
        new DefaultHttpHeaders()
            .set("content-type", "text/event-stream")
            .set(HeaderNames.ATTEMPT_ID, ATTEMPT)
            .set(HeaderNames.ENGINE_INCARNATION, INCARNATION);
    exchange.startStream(200, headers);
    String resumedAfter = exchange.header(HeaderNames.LAST_EVENT_ID);
    int response = resumedAfter == null ? 0 : resumes.incrementAndGet();
    if (response < silentResponses) {
      write(exchange, response == 0 ? FIRST_EVENT : ": no event\n");
      return;
    }
    String text =
        resumedAfter == null ? FIRST_EVENT + events(2) : events(Integer.parseInt(resumedAfter) + 1);
    write(exchange, text + ServerSentEventDecoder.DONE);
    exchange.endStream();
  }

  private static void write(HttpExchange exchange, String text) {
    exchange.write(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  private void attempt(HttpExchange exchange) {
    RequestContext context =
        new RequestContext(exchange, "r1", PolicySet.EMPTY, CompletionRequest.Kind.TEXT);
    context.request =
        new CompletionRequest(CompletionRequest.Kind.TEXT, "model", new byte[0], 1, true, Map.of());
    EngineView view =
        new EngineView(
            "engine-1",
            1,
            engine.address(),
            "zone",
            Map.of(),
            INCARNATION,
            Map.of(),
            false,
            EngineLoad.UNKNOWN,
            new EngineActivity());
    context.placement = new Placement(view, 0, 0, true);
    AttemptMessage message =
        new AttemptMessage(
            ATTEMPT, "/v1/completions", new byte[0], "model", "TEXT", "tenant", "1", "", 0);
    attempt =
        new EngineAttempt(
            context,
            new EngineClient(client),
            message,
            new ResponseSink(context),
            tokenTimeoutMillis);
    attempt
        .start()
        .whenComplete(
            (ended, failure) -> {
              result.complete(ended);
              exchange.abort();
            });
  }

  @Test
  public void eventsOfACancelledResponseDoNotCancelTheOneThatResumesIt() throws Exception {
    client.exchange(node.address(), HttpRequestMessage.get("/"), Duration.ofSeconds(10));
    assertEquals(result.get(10, TimeUnit.SECONDS), new AttemptResult.Complete());
    assertEquals(resumes.get(), 1);
  }

  @Test
  public void anAttemptThatIsBeingCancelledIsNotResumedAfterSilence() throws Exception {
    tokenTimeoutMillis = SHORT_TOKEN_TIMEOUT_MILLIS;
    respondsToCancel = false;
    silentResponses = 1;
    receiveFirstEvent().whenComplete((received, failure) -> attempt.cancel("the deadline passed"));
    assertEquals(
        result.get(10, TimeUnit.SECONDS), new AttemptResult.Cancelled("the deadline passed"));
    assertEquals(resumes.get(), 0);
  }

  @Test
  public void aResumedStreamThatIsSilentAsWellIsResumedAgain() throws Exception {
    tokenTimeoutMillis = SHORT_TOKEN_TIMEOUT_MILLIS;
    silentResponses = 2;
    client.exchange(node.address(), HttpRequestMessage.get("/"), Duration.ofSeconds(10));
    assertEquals(result.get(10, TimeUnit.SECONDS), new AttemptResult.Complete());
    assertEquals(resumes.get(), 2);
  }

  /** Sends a request; the result completes once the first event has arrived at the caller. */
  private CompletableFuture<Void> receiveFirstEvent() {
    CompletableFuture<Void> received = new CompletableFuture<>();
    client.send(
        group.next(),
        node.address(),
        HttpRequestMessage.get("/"),
        new HttpResponseListener() {
          @Override
          public void onHead(int status, HttpHeaders headers) {}

          @Override
          public void onContent(ByteBuf content) {
            received.complete(null);
          }

          @Override
          public void onEnd() {}

          @Override
          public void onFailure(HttpCallException failure) {}
        });
    return received;
  }
}
