package org.lockdale.router.request;

import static org.testng.Assert.assertEquals;

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
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;
import org.lockdale.http.HttpRequestMessage;
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

/** An engine leaves out an event of its stream, and goes on with the next ones. */
public final class EngineAttemptTest {

  private static final int EVENT_COUNT = 6;
  private static final String ATTEMPT = "attempt-1";
  private static final String INCARNATION = "incarnation-1";

  private final AtomicInteger resumes = new AtomicInteger();
  private final CompletableFuture<AttemptResult> result = new CompletableFuture<>();
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
      exchange.reply(HttpReply.empty(404));
      return;
    }
    HttpHeaders headers =
        new DefaultHttpHeaders()
            .set("content-type", "text/event-stream")
            .set(HeaderNames.ATTEMPT_ID, ATTEMPT)
            .set(HeaderNames.ENGINE_INCARNATION, INCARNATION);
    exchange.startStream(200, headers);
    String resumedAfter = exchange.header(HeaderNames.LAST_EVENT_ID);
    String text;
    if (resumedAfter == null) {
      text = "id: 0\ndata: 0\n\n" + events(2);
    } else {
      resumes.incrementAndGet();
      text = events(Integer.parseInt(resumedAfter) + 1);
    }
    String all = text + ServerSentEventDecoder.DONE;
    exchange.write(Unpooled.copiedBuffer(all, StandardCharsets.UTF_8));
    exchange.endStream();
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
    new EngineAttempt(context, new EngineClient(client), message, new ResponseSink(context), 10_000)
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
}
