package org.lockdale.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.caller.CallerRequest;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpReply;
import org.lockdale.http.HttpRequestMessage;
import org.lockdale.http.HttpServer;
import org.lockdale.http.HttpServerSettings;
import org.lockdale.http.ServerSentEventDecoder;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** One source at a time writes the response to a caller. */
public final class CallerResponseTest {

  private static final String RESUME_POINT = "last-event-id";
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private EventLoopGroup group;
  private HttpServer server;
  private HttpClient client;

  /** Writes the response of the next request. */
  private volatile Consumer<CallerResponse> script;

  @BeforeMethod
  public void start() {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    server =
        HttpServer.start(
            HttpServerSettings.forAddress(anyPort), group, new ScriptHandler(this::respond));
    client = new HttpClient(group);
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void respond(HttpExchange exchange) {
    CallerRequest request = RequestFixtures.requestOf(exchange, exchange.header(RESUME_POINT));
    script.accept(new CallerResponse(exchange, request, 0));
  }

  private HttpReply call(Consumer<CallerResponse> nextScript) throws Exception {
    return call(null, nextScript);
  }

  private HttpReply call(@Nullable String lastEventId, Consumer<CallerResponse> nextScript)
      throws Exception {
    script = nextScript;
    HttpRequestMessage message = HttpRequestMessage.get("/");
    if (lastEventId != null) {
      message.headers().set(RESUME_POINT, lastEventId);
    }
    return client.exchange(server.address(), message, RequestFixtures.CALLER_TIMEOUT).get();
  }

  private static String text(HttpReply reply) {
    return new String(reply.body(), StandardCharsets.UTF_8);
  }

  private static CallerResponse.Source stream(CallerResponse response, String name) {
    CallerResponse.Source source = response.source(name, () -> {});
    source.open();
    source.prepareStream(OK, new DefaultHttpHeaders(), true);
    return source;
  }

  private static String event(long id, String text) {
    String idLine = id == ServerSentEventDecoder.NO_ID ? "" : "id: " + id + "\n";
    return idLine + "data: " + text + "\n\n";
  }

  private static boolean write(CallerResponse.Source source, long id, String text) {
    ByteBuf event = Unpooled.copiedBuffer(event(id, text), StandardCharsets.UTF_8);
    try {
      return source.write(id, event, 0);
    } finally {
      event.release();
    }
  }

  @Test
  public void eventsOfAFormerSourceAreDropped() throws Exception {
    HttpReply reply =
        call(
            response -> {
              CallerResponse.Source former = stream(response, "former");
              assertTrue(write(former, 1, "former"));
              CallerResponse.Source next = stream(response, "next");
              assertFalse(write(former, 2, "former"));
              assertFalse(former.endStream());
              assertFalse(former.reply(HttpReply.empty(OK)));
              assertTrue(write(next, 2, "next"));
              assertTrue(next.endStream());
              assertEquals(response.lastEventId(), "2");
            });
    assertEquals(text(reply), event(1, "former") + event(2, "next"));
  }

  @Test
  public void nothingFollowsTheResponseOfTheNode() throws Exception {
    HttpReply refused =
        call(
            response -> {
              CallerResponse.Source former = stream(response, "former");
              response.openOwn().reply(HttpReply.empty(UNAVAILABLE));
              assertFalse(write(former, 1, "former"));
              assertFalse(former.abort());
              assertFalse(response.hasStarted());
            });
    assertEquals(refused.status(), UNAVAILABLE);
    HttpReply following = call(response -> response.openOwn().reply(HttpReply.empty(OK)));
    assertEquals(following.status(), OK);
  }

  @Test
  public void noSourceWritesOnceTheResponseIsClosedToIt() throws Exception {
    HttpReply reply =
        call(
            response -> {
              CallerResponse.Source former = stream(response, "former");
              response.close();
              assertFalse(write(former, 1, "former"));
              assertFalse(former.reply(HttpReply.empty(OK)));
              response.openOwn().reply(HttpReply.empty(UNAVAILABLE));
            });
    assertEquals(reply.status(), UNAVAILABLE);
  }

  /** A run that goes on, and which of its events the caller gets. */
  private record Resumption(String name, @Nullable String lastEventId, String sent, String passed) {

    @Override
    public String toString() {
      return name;
    }
  }

  @DataProvider
  public Object[][] resumptions() {
    return new Object[][] {
      {new Resumption("one event early", "4", "4 5 6", "5 6")},
      {new Resumption("an event again", "4", "5 5 6", "5 6")},
      {new Resumption("ids fall back", "4", "5 6 3 4 5 6 7", "5 6 7")},
      {new Resumption("starts over", "4", "1 2 3 4 5 6", "5 6")},
      {new Resumption("without ids", "4", "- 5 - 6", "- 5 - 6")},
      {new Resumption("without ids, starts over", "4", "1 - 3 - 4 - 5", "- 5")},
      {new Resumption("without ids, falls back", "4", "5 3 - 6", "5 6")},
    };
  }

  @DataProvider
  public Object[][] callersResumptions() {
    List<Object[]> rows = new ArrayList<>(List.of(resumptions()));
    rows.add(row(new Resumption("resume point is no number", "x", "1 1 2", "1 2")));
    rows.add(row(new Resumption("not resumed", null, "2 2 1 - 3", "2 2 1 - 3")));
    return rows.toArray(new Object[0][]);
  }

  private static Object[] row(Resumption resumption) {
    return new Object[] {resumption};
  }

  private static void writeAll(CallerResponse.Source source, String ids) {
    for (String id : ids.split(" ")) {
      write(source, idOf(id), "piece");
    }
  }

  private static long idOf(String id) {
    return id.equals("-") ? ServerSentEventDecoder.NO_ID : Long.parseLong(id);
  }

  private static String events(String ids) {
    return Arrays.stream(ids.split(" "))
        .map(id -> event(idOf(id), "piece"))
        .collect(Collectors.joining());
  }

  @Test(dataProvider = "callersResumptions")
  public void aCallerThatResumesGetsNoEventThatItHas(Resumption resumption) throws Exception {
    HttpReply reply =
        call(
            resumption.lastEventId(),
            response -> {
              CallerResponse.Source source = stream(response, "server");
              writeAll(source, resumption.sent());
              source.endStream();
              assertEquals(response.events(), resumption.passed().split(" ").length);
            });
    assertEquals(text(reply), events(resumption.passed()));
  }

  @Test(dataProvider = "resumptions")
  public void aRunThatGoesOnWithAResponseRepeatsNoEvent(Resumption resumption) throws Exception {
    HttpReply reply =
        call(
            response -> {
              writeAll(stream(response, "first"), "1 2 3 4");
              CallerResponse.Source next = stream(response, "next");
              writeAll(next, resumption.sent());
              next.endStream();
            });
    assertEquals(text(reply), events("1 2 3 4 " + resumption.passed()));
  }

  @Test
  public void aStreamThatMayNotBeResumedIsPassedOnWhateverTheCallerHas() throws Exception {
    HttpReply reply =
        call(
            "4",
            response -> {
              CallerResponse.Source source = response.source("server", () -> {});
              source.open();
              source.prepareStream(OK, new DefaultHttpHeaders(), false);
              writeAll(source, "1 2 1");
              source.endStream();
            });
    assertEquals(text(reply), events("1 2 1"));
  }
}
