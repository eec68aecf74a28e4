import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All servers of a service crash at one moment, and as many are back 3 s later. One kind of request
 * is the same each time, as a poll is; the other kind differs each time.
 */
final class CrashCase {

  private static final int SERVERS = 3;
  private static final long INTERVAL_MICROS = 12_500;
  private static final long DEADLINE_MILLIS = 2_000;
  private static final long TRAFFIC_MILLIS = 80_000;

  /** How the requests of one kind and second ended. */
  private static final class Count {
    final AtomicInteger asked = new AtomicInteger();
    final AtomicInteger served = new AtomicInteger();
    final Map<String, AtomicInteger> ends = new ConcurrentHashMap<>();
  }

  private final Deployment deployment;
  private final List<Deployment.Node> nodes = new ArrayList<>();
  private final Map<String, Count> bySecond = new ConcurrentHashMap<>();
  private final Map<String, Count> totals = new ConcurrentHashMap<>();
  private final AtomicInteger numbers = new AtomicInteger();
  private long trafficSince;

  private CrashCase(Deployment deployment) {
    this.deployment = deployment;
  }

  public static void main(String[] arguments) throws Exception {
    int status = 2;
    try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
      status = new CrashCase(deployment).run();
      deployment.note(status == 1 ? "the rule Starved was broken" : "the rule Starved held");
    } catch (Exception failed) {
      failed.printStackTrace();
    }
    System.exit(status);
  }

  private int run() throws Exception {
    var storeAddress = Deployment.address(100);
    Store store = new Store(storeAddress);
    store.put("op", "config", configuration());
    Process servers = startServers(store, "i-0000000", 31);
    for (int number = 1; number <= 3; number++) {
      nodes.add(deployment.start("front-za-" + number, "za", number, storeAddress));
    }
    for (Deployment.Node node : nodes) {
      deployment.awaitReady(node);
    }
    Thread.sleep(3_000);

    trafficSince = System.nanoTime();
    ExecutorService clients = Executors.newCachedThreadPool();
    ScheduledExecutorService arrivals = Executors.newScheduledThreadPool(1);
    for (boolean poll : new boolean[] {true, false}) {
      arrivals.scheduleAtFixedRate(
          () -> clients.execute(() -> ask(poll)), 0, INTERVAL_MICROS, TimeUnit.MICROSECONDS);
    }
    Thread.sleep(5_000);
    if (deployment.trouble) {
      servers.destroyForcibly().waitFor();
      deployment.note("the process of all servers of the service was killed");
      Thread.sleep(3_000);
      startServers(store, "i-0000001", 41);
      deployment.note("as many servers are back, under new ids at new addresses");
      Thread.sleep(600);
      for (int number = 0; number < SERVERS; number++) {
        store.remove("servers", "i-0000000" + number);
      }
      deployment.note("the entries of the former servers have gone after three silent heartbeats");
    }
    long left = TRAFFIC_MILLIS - (System.nanoTime() - trafficSince) / 1_000_000;
    Thread.sleep(left);
    arrivals.shutdownNow();
    clients.shutdown();
    clients.awaitTermination(5, TimeUnit.SECONDS);
    return judge();
  }

  private Process startServers(Store store, String idPrefix, int firstNumber) throws Exception {
    List<String> command = new ArrayList<>(List.of(
        ProcessHandle.current().info().command().orElse("java"), "-Xmx128m", "-cp",
        "target/review", "LedgerServers"));
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (int number = 0; number < SERVERS; number++) {
      InetSocketAddress address = Deployment.address(firstNumber + number);
      addresses.add(address);
      command.addAll(List.of(idPrefix + number, address.getAddress().getHostAddress(),
          Integer.toString(address.getPort())));
    }
    Process process = new ProcessBuilder(command)
        .redirectError(ProcessBuilder.Redirect.DISCARD).start();
    deployment.endWithTheRun(process);
    if (process.getInputStream().read() < 0) {
      throw new IOException("the servers did not start");
    }
    for (int number = 0; number < SERVERS; number++) {
      store.put("servers", idPrefix + number, "{\"service\":\"ledger\",\"address\":\""
          + Deployment.text(addresses.get(number)) + "\",\"zone\":\"za\",\"version\":\"1.0\","
          + "\"slots\":32,\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":1}");
    }
    return process;
  }

  private static String configuration() {
    String route = "\"host\":\"cards.example\",\"service\":\"ledger\",\"timeoutMs\":2000,"
        + "\"targetLatencyMs\":400,\"priority\":2,\"allowAnonymous\":false,";
    return "{\"version\":11,\"routes\":[{\"name\":\"polls\",\"pathPrefix\":\"/polls/\"," + route
        + "\"kind\":\"safe\",\"maxAttempts\":2},{\"name\":\"posts\",\"pathPrefix\":\"/posts/\"," + route
        + "\"kind\":\"unsafe\",\"maxAttempts\":1}],\"services\":[{\"name\":\"ledger\",\"healthPath\":"
        + "\"/health\",\"maxConnections\":300}],\"limits\":{\"maxHeaderBytes\":16384,"
        + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":["
        + "{\"name\":\"amber\",\"apiKeys\":[\"key-amber\"]}]}";
  }

  /** One request of a client, with its second try. */
  private void ask(boolean poll) {
    String kind = poll ? "polls" : "posts";
    long asked = System.nanoTime();
    String end = tryTwice(poll, asked);
    String second = String.format("%2d s %s", (asked - trafficSince) / 1_000_000_000L, kind);
    for (Count count : List.of(
        bySecond.computeIfAbsent(second, key -> new Count()),
        totals.computeIfAbsent("kind " + kind, key -> new Count()),
        totals.computeIfAbsent("all", key -> new Count()))) {
      count.asked.incrementAndGet();
      count.served.addAndGet(end.equals("200") ? 1 : 0);
      count.ends.computeIfAbsent(end, key -> new AtomicInteger()).incrementAndGet();
    }
  }

  /** A client tries once more after a refusal, as told, within its deadline. */
  private String tryTwice(boolean poll, long asked) {
    String[] first = attempt(poll);
    if (!first[0].equals("503")) {
      return first[0];
    }
    long left = DEADLINE_MILLIS - (System.nanoTime() - asked) / 1_000_000;
    double told = first[1] == null ? 0 : Double.parseDouble(first[1]) * 1_000;
    sleep(Math.max(0, Math.min((long) told, left / 3)));
    return attempt(poll)[0];
  }

  private String[] attempt(boolean poll) {
    int number = numbers.incrementAndGet();
    Deployment.Node node = nodes.get(number % nodes.size());
    try (Socket connection = new Socket()) {
      connection.connect(node.front(), 1_000);
      connection.setSoTimeout((int) DEADLINE_MILLIS);
      String body = poll ? "" : "redeem " + number;
      String request = (poll ? "GET /polls/" : "POST /posts/") + "work-200-800 HTTP/1.1\r\n"
          + "Host: cards.example\r\nLockdale-Request-Id: r" + number + "\r\nLockdale-Deadline-Ms: "
          + DEADLINE_MILLIS + "\r\nAuthorization: Bearer key-amber\r\nConnection: close\r\n"
          + "Content-Length: " + body.length() + "\r\n\r\n" + body;
      connection.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
      Wire.Head head = Wire.head(in);
      if (head == null) {
        return new String[] {"closed", null};
      }
      boolean whole = in.readAllBytes().length == Integer.parseInt(head.get("Content-Length"));
      return new String[] {
        whole ? Integer.toString(head.status()) : "cut", head.get("Retry-After")
      };
    } catch (IOException failed) {
      return new String[] {failed.getClass().getSimpleName(), null};
    }
  }

  private static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private static double share(Count count) {
    return count.served.get() / (double) count.asked.get();
  }

  /** Starved: some kind of request is served under a quarter as often as all requests. */
  private int judge() throws IOException {
    new TreeMap<>(bySecond).forEach((second, count) -> deployment.note(
        second + ": asked " + count.asked + ", served " + count.served + ", ends " + count.ends));
    for (Deployment.Node node : nodes) {
      deployment.log(node).lines()
          .filter(line -> line.contains("event=request-quarantined"))
          .forEach(line -> deployment.note(node.name() + " logs: " + line));
    }
    double all = share(totals.get("all"));
    boolean starved = false;
    for (Map.Entry<String, Count> each : new TreeMap<>(totals).entrySet()) {
      deployment.note(String.format("%s: asked %d, served %d (%.3f)", each.getKey(),
          each.getValue().asked.get(), each.getValue().served.get(), share(each.getValue())));
      starved |= share(each.getValue()) < all / 4;
    }
    return starved ? 1 : 0;
  }
}
