package org.lockdale.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

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
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.coordination.time.SystemTime;
import org.lockdale.gateway.cluster.PeerNode;
import org.lockdale.gateway.configuration.GatewayConfiguration;
import org.lockdale.gateway.configuration.Route;
import org.lockdale.gateway.configuration.RouteKind;
import org.lockdale.gateway.flow.FlowLimits;
import org.lockdale.gateway.flow.HeldBytes;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpReply;
import org.lockdale.http.HttpRequestMessage;
import org.lockdale.http.HttpServer;
import org.lockdale.http.HttpServerSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A stream that another node serves is passed on in complete events. */
public final class ForwardedCallTest {

  private static final Duration TIMEOUT = RequestFixtures.CALLER_TIMEOUT;
  private static final int OK = 200;
  private static final long VERSION = 7;
  private static final int MARK_BYTES = 64 * 1024;
  private static final int BOUND_BYTES = 16 * 1024 * 1024;
  private static final long UNREAD_WAIT_MILLIS = 1_000;
  private static final String EVENTS = event(1) + event(2);

  private static final Route ROUTE = RequestFixtures.route(RouteKind.STREAM, TIMEOUT, true);

  /** What the caller got, the result of the call and the state of the request after it. */
  private record Outcome(String body, ForwardedCall.Result result, RequestState state) {}

  private final List<String> newerNodes = new CopyOnWriteArrayList<>();
  private EventLoopGroup group;
  private HttpClient client;
  private HttpServer node;
  private HttpServer otherNode;

  @BeforeMethod
  public void start() {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    client = new HttpClient(group);
    newerNodes.clear();
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    node.close();
    otherNode.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private HttpServer serve(Consumer<HttpExchange> script) {
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    return HttpServer.start(
        HttpServerSettings.forAddress(anyPort), group, new ScriptHandler(script));
  }

  private static String event(int id) {
    return "id: " + id + "\ndata: piece " + id + "\n\n";
  }

  /**
   * Forwards one request to a node that streams the given parts. Whatever the result is, the
   * response to the caller is ended, so that its body can be read.
   */
  private Outcome forward(boolean complete, String... parts) throws Exception {
    otherNode =
        serve(
            exchange -> {
              HttpHeaders headers = new DefaultHttpHeaders();
              ForwardHeaders.markResponse(headers, VERSION);
              exchange.startStream(OK, headers);
              for (String part : parts) {
                exchange.write(Unpooled.copiedBuffer(part, StandardCharsets.UTF_8));
              }
              if (complete) {
                exchange.endStream();
              } else {
                exchange.abort();
              }
            });
    CompletableFuture<ForwardedCall.Result> result = new CompletableFuture<>();
    CompletableFuture<RequestState> state = new CompletableFuture<>();
    FlowLimits limits = new FlowLimits(MARK_BYTES, MARK_BYTES, BOUND_BYTES, UNREAD_WAIT_MILLIS);
    HeldBytes held = new HeldBytes(limits, SystemTime.instance());
    node =
        serve(
            exchange -> {
              RequestState received = RequestFixtures.stateOf(exchange, ROUTE);
              PeerNode peer = new PeerNode("node-2", otherNode.address(), 1);
              new ForwardedCall(
                      received,
                      peer,
                      new PeerConfigurations(
                          new Section<>(GatewayConfiguration.NONE),
                          newer -> newerNodes.add(newer.id())),
                      held,
                      SystemTime.instance(),
                      end -> {
                        result.complete(end);
                        state.complete(received);
                        exchange.endStream();
                      })
                  .start(client, 0);
            });
    HttpReply reply = client.exchange(node.address(), HttpRequestMessage.get("/"), TIMEOUT).get();
    return new Outcome(new String(reply.body(), StandardCharsets.UTF_8), result.get(), state.get());
  }

  @Test
  public void noPartOfAnEventIsPassedOnFromANodeThatIsLostInsideIt() throws Exception {
    Outcome outcome = forward(false, EVENTS, "id: 3\nda");
    assertEquals(outcome.body(), EVENTS);
    assertTrue(outcome.result() instanceof ForwardedCall.Result.Lost, outcome.toString());
  }

  @Test
  public void aStreamThatEndsInsideAnEventIsNotPassedOnAsComplete() throws Exception {
    Outcome outcome = forward(true, EVENTS, "id: 3\nda");
    assertEquals(outcome.body(), EVENTS);
    assertTrue(outcome.result() instanceof ForwardedCall.Result.Abandoned, outcome.toString());
  }

  @Test
  public void aNodeThatHasServedByANewerConfigurationIsReported() throws Exception {
    forward(true, EVENTS);
    assertEquals(newerNodes, List.of("node-2"));
  }

  @Test
  public void theEventsOfAnotherNodeCountAsThoseOfTheResponse() throws Exception {
    Outcome outcome = forward(true, event(1) + "id: 2\nda", "ta: piece 2\n\n");
    assertEquals(outcome.body(), EVENTS);
    assertTrue(outcome.result() instanceof ForwardedCall.Result.Served, outcome.toString());
    CallerResponse response = outcome.state().response;
    assertEquals(response.lastEventId(), "2");
    assertEquals(response.events(), 2);
    assertTrue(response.firstEventMillis() >= 0);
  }
}
