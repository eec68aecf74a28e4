package org.lockdale.gateway.request;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.lockdale.coordination.time.SystemTime;
import org.lockdale.gateway.configuration.LimitUnit;
import org.lockdale.gateway.configuration.Route;
import org.lockdale.gateway.configuration.RouteKind;
import org.lockdale.gateway.configuration.Tenant;
import org.lockdale.gateway.configuration.TenantLimit;
import org.lockdale.gateway.limit.Admission;
import org.lockdale.gateway.limit.TenantLimiter;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpReply;
import org.lockdale.http.HttpRequestMessage;
import org.lockdale.http.HttpServer;
import org.lockdale.http.HttpServerSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks what becomes of requests whose admission is decided late or never. */
public final class TenantLimitStepTest {

  private static final Duration ROUTE_TIMEOUT = Duration.ofMillis(300);
  private static final int UNAVAILABLE = 503;

  private static final TenantLimit LIMIT = new TenantLimit(1, 1, LimitUnit.REQUESTS, 0);
  private static final Tenant TENANT = new Tenant("tenant", Set.of("key"), null, false, LIMIT);
  private static final Route ROUTE =
      RequestFixtures.route(RouteKind.IDEMPOTENT, ROUTE_TIMEOUT, false);

  /** Leaves the decision to the test, as a control loop that is held up does. */
  private static final class LateLimiter implements TenantLimiter {
    final CompletableFuture<Admission> decision = new CompletableFuture<>();
    final BlockingQueue<Admission.Granted> refunds = new LinkedBlockingQueue<>();

    @Override
    public CompletableFuture<Admission> admit(
        String tenant, TenantLimit limit, double amount, long maxWaitMillis) {
      return decision;
    }

    @Override
    public void refund(Admission.Granted granted) {
      refunds.add(granted);
    }
  }

  private LateLimiter limiter;
  private EventLoopGroup group;
  private HttpServer server;

  @BeforeMethod
  public void start() {
    limiter = new LateLimiter();
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    TenantLimitStep step = new TenantLimitStep(limiter, SystemTime.instance());
    ScriptHandler handler = new ScriptHandler(exchange -> apply(step, exchange));
    server = HttpServer.start(HttpServerSettings.forAddress(anyPort), group, handler);
  }

  /** Applies the step to a request, and replies with the status of what it decides. */
  private static void apply(TenantLimitStep step, HttpExchange exchange) {
    RequestState state = RequestFixtures.stateOf(exchange, ROUTE);
    state.tenant = TENANT;
    step.apply(
        state,
        () -> exchange.reply(HttpReply.empty(200)),
        refusal -> exchange.reply(HttpReply.empty(UNAVAILABLE)));
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private CompletableFuture<HttpReply> send() {
    return new HttpClient(group)
        .exchange(server.address(), HttpRequestMessage.get("/"), RequestFixtures.CALLER_TIMEOUT);
  }

  @Test
  public void aRequestWhoseAdmissionIsNotDecidedIsRefusedAtItsTimeout() throws Exception {
    assertEquals(send().get().status(), UNAVAILABLE);
  }

  @Test
  public void anAdmissionThatComesAfterTheRefusalIsRefunded() throws Exception {
    assertEquals(send().get().status(), UNAVAILABLE);
    Admission.Granted granted = new Admission.Granted("tenant", 1, 0);
    limiter.decision.complete(granted);
    assertEquals(limiter.refunds.poll(10, TimeUnit.SECONDS), granted);
  }

  @Test
  public void aRequestThatIsAdmittedInTimeProceeds() throws Exception {
    limiter.decision.complete(new Admission.Granted("tenant", 1, 0));
    assertEquals(send().get().status(), 200);
    assertEquals(limiter.refunds.size(), 0);
  }
}
