package org.lockdale.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.lockdale.router.node.RouterNode;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that invalid input gets a typed error and leaks no request, connection or thread. */
public final class BadInputTest {

  /** Request threads that LocalCluster configures for each node; one more is the control thread. */
  private static final int REQUEST_THREADS = 2;

  private static final String CHAT = "/v1/chat/completions";
  private static final String KEY = "authorization: Bearer key-sm-malls\r\n";
  private static final String JSON = "content-type: application/json\r\n";
  private static final String GOOD_BODY = body("gift-llm", "");

  private LocalCluster cluster;
  private RouterNode node;

  /** Starts one node with low limits and two engines. */
  @BeforeClass
  public void start() throws InterruptedException {
    Deployment deployment =
        Deployment.find("gift-cards")
            .withEngines(List.of("pasig-a"), List.of(2), UnaryOperator.identity());
    cluster =
        LocalCluster.start(
            deployment,
            1,
            Map.of(
                "request.body-timeout", "300ms",
                "request.max-body-bytes", "8192",
                "request.max-header-bytes", "4096"));
    node = cluster.nodes().get(0);
  }

  /** Stops everything. */
  @AfterClass(alwaysRun = true)
  public void stop() {
    cluster.close();
  }

  /** Checks that no request, connection or additional thread remains after a test. */
  @AfterMethod
  public void assertNothingLeaked() throws InterruptedException {
    ProcessCluster.await("no request in flight", () -> node.requestsInFlight() == 0);
    ProcessCluster.await("no connection open", () -> node.callerConnections() == 0);
    ProcessCluster.await(
        "no thread beside the request and control threads",
        () -> nodeThreads() <= REQUEST_THREADS + 1);
  }

  private static long nodeThreads() {
    return Thread.getAllStackTraces().keySet().stream()
        .filter(
            thread ->
                thread.getName().startsWith(RouterNode.REQUEST_THREADS)
                    || thread.getName().startsWith(RouterNode.CONTROL_THREADS))
        .count();
  }

  private static String body(String model, String metadata) {
    return "{\"model\":\""
        + model
        + "\",\"max_tokens\":2,\"metadata\":{"
        + metadata
        + "},\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
  }

  private RawHttp connect() throws IOException {
    return new RawHttp(node.callerAddress());
  }

  /** Returns invalid requests: path, headers, body, expected status and error code. */
  @DataProvider
  public Object[][] requests() {
    return new Object[][] {
      {CHAT, JSON, GOOD_BODY, 401, "missing_api_key"},
      {CHAT, JSON + "authorization: Basic abc\r\n", GOOD_BODY, 401, "missing_api_key"},
      {CHAT, JSON + "authorization: Bearer wrong\r\n", GOOD_BODY, 401, "invalid_api_key"},
      {CHAT, KEY + JSON, body("gift-llm", "\"tenant\":\"puregold\""), 403, "label_not_allowed"},
      {CHAT, KEY + JSON, body("gift-llm", "\"size\":\"huge\""), 403, "label_not_allowed"},
      {CHAT, KEY + JSON, body("no-such-model", ""), 404, "unknown_model"},
      {CHAT, KEY + JSON, "{\"model\": gift", 400, "invalid_json"},
      {CHAT, KEY + JSON, "[]", 400, "invalid_json"},
      {CHAT, KEY + JSON, "{\"model\":\"gift-llm\"}", 400, "missing_messages"},
      {CHAT, KEY + JSON, GOOD_BODY.replace("2,", "-2,"), 400, "invalid_max_tokens"},
      {CHAT, KEY + JSON, "{\"a\":" + "[".repeat(500) + "]".repeat(500) + "}", 400, "json_too_deep"},
      {CHAT, KEY + "content-type: text/plain\r\n", GOOD_BODY, 415, "unsupported_media_type"},
      {CHAT, KEY + JSON, "x".repeat(9_000), 413, "body_too_large"},
      {CHAT, KEY + JSON + "x-bomb: " + "x".repeat(5_000) + "\r\n", "", 431, "headers_too_large"},
      {CHAT, KEY + JSON + "x-lockdale-deadline-ms: 0\r\n", GOOD_BODY, 504, "deadline_expired"},
      {CHAT, KEY + JSON + "x-lockdale-deadline-ms: soon\r\n", GOOD_BODY, 400, "invalid_request"},
      {CHAT, KEY + JSON + "idempotency-key: \r\n", GOOD_BODY, 400, "invalid_request"},
      {"/v1/embeddings", KEY + JSON, GOOD_BODY, 404, "unknown_path"},
      {"/v1/models", KEY + JSON, GOOD_BODY, 405, "method_not_allowed"},
    };
  }

  /**
   * Each invalid request gets its status and error code with the outcome {@code not_run}, and no
   * engine runs it.
   */
  @Test(dataProvider = "requests")
  public void isRejected(String path, String headers, String body, int status, String code)
      throws IOException {
    int runsBefore = cluster.history().events().size();
    try (RawHttp http = connect()) {
      String reply = http.post(path, headers, body).readAll();
      assertTrue(reply.startsWith("http/1.1 " + status), reply);
      assertTrue(reply.contains("\"code\":\"" + code + "\""), reply);
      assertTrue(reply.contains("x-lockdale-outcome: not_run"), reply);
      assertTrue(reply.contains("x-request-id: "), reply);
    }
    assertEquals(cluster.history().events().size(), runsBefore, "an engine ran the request");
  }

  /** A malformed request line gets status 400 and the connection is closed. */
  @Test
  public void malformedRequestLine() throws IOException {
    try (RawHttp http = connect()) {
      String reply = http.send("\u0001\u0002 nonsense\r\n\r\n").readAll();
      assertTrue(reply.startsWith("http/1.1 400"), reply);
    }
  }

  /** A request whose body stays incomplete past the body timeout gets status 408. */
  @Test
  public void slowBody() throws IOException {
    try (RawHttp http = connect()) {
      http.send("POST " + CHAT + " HTTP/1.1\r\nhost: node\r\n" + KEY + JSON);
      String reply = http.send("content-length: 4000\r\n\r\n{\"model\":").readAll();
      assertTrue(reply.startsWith("http/1.1 408"), reply);
      assertTrue(reply.contains("\"code\":\"request_timeout\""), reply);
    }
  }

  /**
   * A valid request that cannot meet its deadline gets status 504 and is cancelled at the engine.
   */
  @Test
  public void deadlineExpiresWhileRunning() throws IOException {
    String longRequest = GOOD_BODY.replace("\"max_tokens\":2", "\"max_tokens\":4000");
    try (RawHttp http = connect()) {
      String reply =
          http.post(CHAT, KEY + JSON + "x-lockdale-deadline-ms: 200\r\n", longRequest).readAll();
      assertTrue(reply.startsWith("http/1.1 504"), reply);
      assertTrue(reply.contains("\"outcome\":\"unknown\""), reply);
      assertTrue(reply.contains("retry-after: "), reply);
    }
    ProcessCluster.awaitIdle(cluster);
  }

  /** If a caller disconnects in the middle of a stream, its request is cancelled at the engine. */
  @Test
  public void callerDisconnectsMidStream() throws IOException, InterruptedException {
    String longStreamRequest =
        GOOD_BODY.replace("\"max_tokens\":2", "\"max_tokens\":100000,\"stream\":true");
    try (RawHttp http = connect()) {
      http.post(CHAT, KEY + JSON, longStreamRequest).readUntil("id: 2");
    }
    ProcessCluster.awaitIdle(cluster);
  }

  /** Pipelined requests on one connection get their responses in the order of the requests. */
  @Test
  public void pipelinedRequestsKeepTheirOrder() throws IOException {
    InetSocketAddress address = node.callerAddress();
    try (RawHttp http = new RawHttp(address)) {
      String first = "GET /v1/models HTTP/1.1\r\nhost: node\r\n\r\n";
      String second = "GET /nowhere HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n";
      String replies = http.send(first + second).readAll();
      assertTrue(replies.indexOf("gift-llm") < replies.indexOf("unknown_path"), replies);
    }
  }
}
