import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A server leaves while a node is partitioned from the store for 2 s. */
final class LeavingCase {

  private static final long DRAIN_MILLIS = 2_000;
  private static final long CONTACT_MILLIS = 3_000;
  private static final long CUT_MILLIS = 2_000;

  private LeavingCase() {}

  public static void main(String[] arguments) throws Exception {
    int status = 2;
    try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
      status = run(deployment);
      deployment.note(status == 1 ? "the rule DRAIN was broken" : "the rule DRAIN held");
    } catch (Exception failed) {
      failed.printStackTrace();
    }
    System.exit(status);
  }

  private static int run(Deployment deployment) throws Exception {
    var storeAddress = Deployment.address(100);
    var pathAddress = Deployment.address(101);
    Store store = new Store(storeAddress);
    Proxy path = new Proxy(pathAddress, storeAddress);
    List<Long> arrivals = new CopyOnWriteArrayList<>();
    String leaving = "i-0000000e";
    var leavingAddress = Deployment.address(71);
    Process leavingServer = startServer(deployment, leaving, leavingAddress, arrivals);
    LedgerServers staying = new LedgerServers(note -> {}, "i-0000000f", Deployment.address(72));
    store.put("op", "config", "{\"version\":11,\"routes\":[{\"name\":\"posts\",\"host\":"
        + "\"cards.example\",\"pathPrefix\":\"/posts/\",\"kind\":\"unsafe\",\"service\":\"ledger\","
        + "\"timeoutMs\":2000,\"targetLatencyMs\":400,\"maxAttempts\":1,\"priority\":2}],"
        + "\"services\":[{\"name\":\"ledger\",\"healthPath\":\"/health\",\"maxConnections\":100}],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
        + "\"idleTimeoutMs\":15000},\"tenants\":[]}");
    String entry = "{\"service\":\"ledger\",\"address\":\"" + Deployment.text(leavingAddress)
        + "\",\"zone\":\"za\",\"version\":\"1.0\",\"slots\":32,\"state\":\"ready\",\"seq\":1,"
        + "\"coldRemainingMs\":";
    store.put("servers", leaving, entry + "8000}");
    store.put("servers", staying.id, staying.row("za", 32, ""));
    Deployment.Node node = deployment.start("front-za-2", "za", 2, pathAddress);
    deployment.awaitReady(node);
    Thread.sleep(3_000);
    Deployment.Node first = deployment.start("front-za-1", "za", 1, storeAddress);
    deployment.awaitReady(first);
    // Both nodes are in touch, and both have taken their part in reading the store.
    Thread.sleep(9_000);

    Map<String, AtomicInteger> ends = new ConcurrentHashMap<>();
    AtomicInteger numbers = new AtomicInteger();
    ExecutorService clients = Executors.newCachedThreadPool();
    ScheduledExecutorService requests = Executors.newScheduledThreadPool(1);
    requests.scheduleAtFixedRate(
        () -> clients.execute(() -> {
          long second = deployment.millis() / 1_000;
          String end = ask(node, "p" + numbers.incrementAndGet());
          ends.computeIfAbsent(String.format("%2d s: %s", second, end), key -> new AtomicInteger())
              .incrementAndGet();
        }), 0, 50, TimeUnit.MILLISECONDS);
    Thread.sleep(1_000);

    awaitNextCall(store, pathAddress.getAddress().getHostAddress());
    long healedAt = deployment.millis();
    if (deployment.trouble) {
      path.cut();
      deployment.note("front-za-2 is partitioned from the store");
    }
    Thread.sleep(100);
    store.put("servers", leaving, entry + "0}");
    deployment.note("the store has the entry of " + leaving + ", which is no longer slow");
    Thread.sleep(900);
    store.remove("servers", leaving);
    long goneAt = deployment.millis();
    deployment.note("the entry of " + leaving + " is gone; it serves on for drainMs and 6 s more");
    Thread.sleep(CUT_MILLIS - 1_000);
    if (deployment.trouble) {
      path.heal();
      healedAt = deployment.millis();
      deployment.note("the partition has healed");
    }
    long leftAt = goneAt + DRAIN_MILLIS + 6_000;
    Thread.sleep(leftAt - deployment.millis());
    leavingServer.destroyForcibly().waitFor();
    deployment.note(leaving + " has ended");
    Thread.sleep(1_000);
    requests.shutdownNow();
    clients.shutdown();
    clients.awaitTermination(5, TimeUnit.SECONDS);

    deployment.log(node).lines()
        .filter(line -> line.contains("event=backends-changed"))
        .forEach(line -> deployment.note(node.name() + " logs: " + line));
    long bound = Math.max(goneAt + DRAIN_MILLIS, healedAt + CONTACT_MILLIS);
    List<Long> late = new ArrayList<>(arrivals);
    late.removeIf(at -> at <= bound);
    new TreeMap<>(ends).forEach((end, count) -> deployment.note(end + ": " + count));
    deployment.note(String.format("%d requests reached %s more than drainMs after its entry was gone"
        + " and more than contactMs after the partition, that is after %.3f s", late.size(),
        leaving, bound / 1000.0));
    return late.isEmpty() ? 0 : 1;
  }

  private static Process startServer(
      Deployment deployment, String id, InetSocketAddress address, List<Long> arrivals)
      throws IOException {
    Process process = new ProcessBuilder(
        ProcessHandle.current().info().command().orElse("java"), "-Xmx128m", "-Dtells=true", "-cp",
        "target/review", "LedgerServers", id, address.getAddress().getHostAddress(),
        Integer.toString(address.getPort()))
        .redirectError(ProcessBuilder.Redirect.DISCARD).start();
    deployment.endWithTheRun(process);
    BufferedReader lines = new BufferedReader(new InputStreamReader(process.getInputStream()));
    if (lines.readLine() == null) {
      throw new IOException("the server did not start");
    }
    Servers.start("notes", () -> lines.lines().filter(line -> line.contains(" runs ")).forEach(line -> {
      arrivals.add(deployment.millis());
      deployment.note(line);
    }));
    return process;
  }

  /** Waits until the node on the path has just called for the changes of the servers. */
  private static void awaitNextCall(Store store, String host) throws InterruptedException {
    int calls = store.callsForChanges("servers", host);
    while (store.callsForChanges("servers", host) == calls) {
      Thread.sleep(10);
    }
    Thread.sleep(50);
  }

  private static String ask(Deployment.Node node, String id) {
    try (Socket connection = new Socket()) {
      connection.connect(node.front(), 1_000);
      connection.setSoTimeout(3_000);
      connection.getOutputStream().write(("POST /posts/work-300-800 HTTP/1.1\r\nHost: cards.example\r\n"
          + "Lockdale-Request-Id: " + id + "\r\nLockdale-Deadline-Ms: 2000\r\nConnection: close\r\n"
          + "Content-Length: " + id.length() + "\r\n\r\n" + id)
          .getBytes(StandardCharsets.ISO_8859_1));
      Wire.Head head = Wire.head(new BufferedInputStream(connection.getInputStream()));
      return head == null ? "closed" : head.line();
    } catch (IOException failed) {
      return failed.getClass().getSimpleName();
    }
  }
}
