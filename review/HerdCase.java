import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
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

/** The platform hands nine in ten new connections to one node for 8 s; the prompts have many parts. */
final class HerdCase {

  private static final int ENGINES = 8;
  private static final int NODES = 5;

  /** Parts of a prompt: with 8 hex digits each they take 14.4 KB of the 16 KB of maxHeaderBytes. */
  private static final int PARTS = 1_200;

  /** Requests a second of all clients, and the duration of their streams: 1,200 run at a time. */
  private static final int PER_SECOND = 100;

  private static final int RUN_MILLIS = 12_000;

  private static final int USUAL_MILLIS = 16_000;
  private static final int HERD_MILLIS = 8_000;
  private static final int TIMEOUT_MILLIS = 15_000;

  /** A client gives up a stream after four times the objective, here after the route's timeout. */
  private static final int GIVE_UP_MILLIS = 16_000;

  private static final String MODELS = "[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]";

  /** What became of the requests that were sent within one second. */
  private static final class Count {
    final AtomicInteger sent = new AtomicInteger();
    final AtomicInteger past = new AtomicInteger();
    final AtomicInteger unanswered = new AtomicInteger();
    final Map<String, AtomicInteger> ends = new ConcurrentHashMap<>();
  }

  /** A model server whose streams take RUN_MILLIS. */
  private static final class Engine extends Servers {

    Engine(String id, InetSocketAddress address) throws IOException {
      super(id, "llm", address);
    }

    @Override
    void answer(Wire.Head head, byte[] body, OutputStream out)
        throws IOException, InterruptedException {
      String path = head.line().split(" ")[1];
      if (path.startsWith("/report")) {
        json(out, 200, "{\"stage\":\"colocated\",\"models\":" + MODELS + ",\"busy\":false,\"seq\":0,"
            + "\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":110556,\"handles\":0}");
      } else if (path.startsWith("/kv-")) {
        Thread.sleep(head.get("Wait-Ms") == null ? 0 : Long.parseLong(head.get("Wait-Ms")));
        json(out, 200,
            "{\"bootEpoch\":1,\"nextPageToken\":0,\"lost\":false,\"events\":[],\"held\":[]}");
      } else {
        run(head, out);
      }
    }

    private static void run(Wire.Head head, OutputStream out)
        throws IOException, InterruptedException {
      String request = head.get("Lockdale-Request-Id");
      write(out, "HTTP/1.1 200 OK\r\nLockdale-Request-Id: " + request
          + "\r\nLockdale-Response-Signature: s." + request + "\r\nLockdale-Weight-Versions: 1"
          + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
      for (int event = 1; event <= 9; event++) {
        String text = "id: " + event + "\ndata: piece\n\n";
        write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        out.flush();
        Thread.sleep(RUN_MILLIS / 9);
      }
      write(out, "0\r\n\r\n");
    }
  }

  private final Deployment deployment;
  private final Map<Integer, Count> counts = new ConcurrentHashMap<>();
  private final AtomicInteger numbers = new AtomicInteger();
  private final List<Deployment.Node> nodes = new CopyOnWriteArrayList<>();
  private final Map<String, Integer> misses = new ConcurrentHashMap<>();
  private final String sharedParts;
  private long trafficSince;
  private volatile boolean herd;

  private HerdCase(Deployment deployment) {
    this.deployment = deployment;
    StringBuilder parts = new StringBuilder();
    for (int part = 1; part < PARTS; part++) {
      parts.append(String.format("%08x:20,", 0x5c1e0000 + part * 7919));
    }
    sharedParts = parts.toString();
  }

  public static void main(String[] arguments) throws Exception {
    int status = 2;
    try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
      status = new HerdCase(deployment).run();
      deployment.note(status == 2 ? "no result"
          : status == 1 ? "the rule CONFIG was broken" : "the rule CONFIG held");
    } catch (Exception failed) {
      failed.printStackTrace();
    }
    System.exit(status);
  }

  private int run() throws Exception {
    var storeAddress = Deployment.address(100);
    Store store = new Store(storeAddress);
    store.put("op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
    store.put("op", "config", "{\"version\":11,\"routes\":[{\"name\":\"drafts\",\"host\":"
        + "\"cards.example\",\"pathPrefix\":\"/drafts/\",\"kind\":\"streaming\",\"service\":\"llm\","
        + "\"timeoutMs\":" + TIMEOUT_MILLIS + ",\"targetLatencyMs\":4000,\"gapTargetMs\":2000,"
        + "\"maxAttempts\":2,\"priority\":1,\"resumable\":true,\"stickySessions\":true}],\"services\":"
        + "[{\"name\":\"llm\",\"healthPath\":\"/health\",\"maxConnections\":1200,\"engine\":{\"models\":"
        + "[{\"name\":\"m0\"}],\"kvCapacityTokens\":110556,\"kvTokenBytes\":163840,\"stride\":4}}],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
        + "\"idleTimeoutMs\":15000},\"tenants\":[]}");
    for (int number = 0; number < ENGINES; number++) {
      Engine engine = new Engine("i-0000000" + number, Deployment.address(21 + number));
      store.put("servers", engine.id,
          engine.row("za", 256, ",\"stage\":\"colocated\",\"models\":" + MODELS));
    }
    for (int number = 1; number <= NODES; number++) {
      nodes.add(deployment.start("front-za-" + number, "za", number, storeAddress));
    }
    for (Deployment.Node node : nodes) {
      deployment.awaitReady(node);
      Servers.start("ready", () -> check(node));
    }
    Thread.sleep(3_000);

    ExecutorService clients = Executors.newCachedThreadPool(task -> {
      Thread thread = new Thread(null, task, "client", 128 * 1024);
      thread.setDaemon(true);
      return thread;
    });
    trafficSince = System.nanoTime();
    ScheduledExecutorService arrivals = Executors.newScheduledThreadPool(1);
    arrivals.scheduleAtFixedRate(() -> clients.execute(this::ask), 0,
        1_000_000 / PER_SECOND, TimeUnit.MICROSECONDS);
    Thread.sleep(USUAL_MILLIS);
    herd = deployment.trouble;
    deployment.note(herd ? "nine in ten new connections go to one node from now on" : "no disruption");
    Thread.sleep(HERD_MILLIS);
    herd = false;
    deployment.note("new connections go to all nodes that are in");
    Thread.sleep(5_000);
    arrivals.shutdownNow();
    clients.shutdown();
    clients.awaitTermination(GIVE_UP_MILLIS + 4_000, TimeUnit.MILLISECONDS);
    deployment.note("all clients have left");
    Thread.sleep(5_000);
    for (Deployment.Node node : nodes) {
      deployment.note(node.name() + " 5 s after all clients have left: "
          + (isReady(node) ? "ready" : "gives no answer to GET /ready")
          + ", its process " + (node.process().isAlive() ? "runs" : "has ended"));
      deployment.log(node).lines().filter(line -> line.contains("OutOfMemoryError")).limit(1)
          .forEach(line -> deployment.note(node.name() + " logs: "
              + line.replaceAll("Task: .*?: java", "java")));
    }
    return judge();
  }

  /** Asks a node each second whether it is ready; one that misses twice gets no new connections. */
  private void check(Deployment.Node node) {
    while (true) {
      boolean ready = isReady(node);
      int before = misses.getOrDefault(node.name(), 0);
      misses.put(node.name(), ready ? 0 : before + 1);
      if (before == 1 && !ready) {
        deployment.note(node.name() + " has missed twice and is out");
      } else if (before > 1 && ready) {
        deployment.note(node.name() + " is in again");
      }
      try {
        Thread.sleep(1_000);
      } catch (InterruptedException ended) {
        return;
      }
    }
  }

  private static boolean isReady(Deployment.Node node) {
    try {
      HttpURLConnection call = (HttpURLConnection) URI.create(
          "http://" + Deployment.text(node.ready()) + "/ready").toURL().openConnection();
      call.setConnectTimeout(1_000);
      call.setReadTimeout(1_000);
      return call.getResponseCode() == 200;
    } catch (IOException notReady) {
      return false;
    }
  }

  /** The node that gets the next new connection; all, if none is in. */
  private Deployment.Node next(int number) {
    List<Deployment.Node> in =
        nodes.stream().filter(node -> misses.getOrDefault(node.name(), 0) < 2).toList();
    List<Deployment.Node> usable = in.isEmpty() ? nodes : in;
    boolean toOne = herd && number % 10 != 0;
    return usable.get(toOne ? 0 : number / 10 % usable.size());
  }

  private void ask() {
    int number = numbers.incrementAndGet();
    long sent = System.nanoTime();
    Count count = counts.computeIfAbsent(
        (int) ((sent - trafficSince) / 1_000_000_000L), key -> new Count());
    count.sent.incrementAndGet();
    String end = attempt(next(number), "d" + number);
    long millis = (System.nanoTime() - sent) / 1_000_000;
    if (millis > TIMEOUT_MILLIS) {
      count.past.incrementAndGet();
      count.unanswered.addAndGet(millis > TIMEOUT_MILLIS + 500 ? 1 : 0);
    }
    count.ends.computeIfAbsent(end, key -> new AtomicInteger()).incrementAndGet();
  }

  private String attempt(Deployment.Node node, String id) {
    long end = System.nanoTime() + GIVE_UP_MILLIS * 1_000_000L;
    try (Socket connection = new Socket()) {
      connection.connect(node.front(), 1_000);
      connection.setSoTimeout(GIVE_UP_MILLIS);
      connection.getOutputStream().write(("POST /drafts/2f HTTP/1.1\r\nHost: cards.example\r\n"
          + "Lockdale-Request-Id: " + id + "\r\nLockdale-Model: m0\r\nLockdale-Token-Usage: 24000,36"
          + "\r\nLockdale-Prefix-Hash: " + sharedParts + String.format("%08x:20", id.hashCode())
          + "\r\nLockdale-Deadline-Ms: 15000\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello")
          .getBytes(StandardCharsets.ISO_8859_1));
      BufferedInputStream in = new BufferedInputStream(connection.getInputStream(), 2_048);
      Wire.Head head = Wire.head(in);
      if (head == null) {
        return "closed";
      }
      StringBuilder body = new StringBuilder();
      for (int next = in.read(); next >= 0 && System.nanoTime() < end; next = in.read()) {
        body.append((char) next);
      }
      return head.status() == 200 && !body.toString().endsWith("0\r\n\r\n")
          ? "cut" : "" + head.status();
    } catch (IOException failed) {
      return failed.getClass().getSimpleName();
    }
  }

  /**
   * CONFIG: eight requests or more, and over a quarter of those that run past their route's
   * timeoutMs, still lack a final answer 0.5 s past it. No result, if in some second the script sent
   * less than half of what it should have: then a processor was missing, for the nodes too.
   */
  private int judge() {
    int past = 0;
    int unanswered = 0;
    for (Map.Entry<Integer, Count> second : new TreeMap<>(counts).entrySet()) {
      Count count = second.getValue();
      past += count.past.get();
      unanswered += count.unanswered.get();
      deployment.note(String.format("%2d s: sent %s, past timeoutMs %s, of these unanswered 0.5 s"
          + " past it %s, ends %s", second.getKey(), count.sent, count.past, count.unanswered,
          count.ends));
    }
    deployment.note("past timeoutMs " + past + ", of these unanswered 0.5 s past it " + unanswered);
    boolean stalled = java.util.stream.IntStream.range(0, 28).anyMatch(
        second -> !counts.containsKey(second) || counts.get(second).sent.get() < PER_SECOND / 2);
    if (stalled) {
      deployment.note("the script itself sent too few requests: this machine gave it too little time");
      return 2;
    }
    return unanswered >= 8 && unanswered > past / 4 ? 1 : 0;
  }
}
