import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Nodes of a small deployment as separate processes, started by the command of the deploy file. */
final class Deployment implements AutoCloseable {

  /** A node's process and its addresses. */
  record Node(String name, Process process, InetSocketAddress front, InetSocketAddress ready) {

    /** Sends a signal to this process only. */
    void signal(String name) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }
  }

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final BufferedWriter record;
  private final Path folder;
  private final Path root = Path.of("").toAbsolutePath();
  private final List<Node> nodes = new ArrayList<>();
  private final List<Process> others = new CopyOnWriteArrayList<>();
  private final long startedAt = System.nanoTime();

  Deployment(Path caseFolder) throws IOException {
    record = Files.newBufferedWriter(caseFolder.resolve("record.txt"));
    folder = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
  }

  long millis() {
    return (System.nanoTime() - startedAt) / 1_000_000;
  }

  synchronized void note(String text) {
    try {
      record.write(String.format("%7.3f s  %s%n", millis() / 1000.0, text));
      record.flush();
    } catch (IOException failed) {
      throw new UncheckedIOException(failed);
    }
  }

  /** Returns an address of its own for each number, with a free port. */
  static InetSocketAddress address(int number) throws IOException {
    InetAddress host = InetAddress.getByName("127.77.0." + number);
    try (ServerSocket probe = new ServerSocket(0, 1, host)) {
      return new InetSocketAddress(host, probe.getLocalPort());
    }
  }

  static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** Starts a node with the settings that the template gives on a small deployment. */
  Node start(String name, String zone, int number, InetSocketAddress store) throws IOException {
    InetSocketAddress front = address(number);
    InetSocketAddress ready = address(number);
    InetSocketAddress peers = address(number);
    String settings =
        String.join(
            "\n",
            "node.id: " + name,
            "node.zone: " + zone,
            "node.link: 1000.0",
            "node.catch-up: 3000ms",
            "node.memory: 430",
            "zones.tolerated-losses: 0",
            "node.threads: 1",
            "node.open-files: 4100",
            "callers.address: " + text(front),
            "readiness.address: " + text(ready),
            "peers.address: " + text(peers),
            "store.address: " + text(store),
            "keys.revocation-bound: 5000ms",
            "retries.ratio: 0.2",
            "retries.allowance: 54",
            "retries.window: 10s",
            "weights.bound: 8000ms",
            "lease.guard: 3000ms",
            "stop.grace: 8s",
            "");
    Path file = Files.writeString(folder.resolve(name + ".yaml"), settings);
    List<String> command = new ArrayList<>();
    for (String word : runLine().split(" ")) {
      command.add(
          word.equals("/etc/lockdale/settings.toml")
              ? file.toString()
              : word.equals("{{listen.front}}") ? text(front) : word);
    }
    Process process =
        new ProcessBuilder(command)
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve(name + ".log").toFile())
            .start();
    Node node = new Node(name, process, front, ready);
    nodes.add(node);
    note("node " + name + " started, callers at " + text(front));
    return node;
  }

  private String runLine() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no run line");
    }
    return run.group(1);
  }

  /** Waits until a node says that it is ready. */
  void awaitReady(Node node) throws IOException, InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (System.nanoTime() < end) {
      try {
        HttpURLConnection call =
            (HttpURLConnection)
                URI.create("http://" + text(node.ready) + "/ready").toURL().openConnection();
        call.setConnectTimeout(500);
        call.setReadTimeout(500);
        if (call.getResponseCode() == 200) {
          note("node " + node.name + " is ready");
          return;
        }
      } catch (IOException notYet) {
        // It is starting.
      }
      Thread.sleep(100);
    }
    throw new IOException("node " + node.name + " was not ready within 30 s");
  }

  String log(Node node) throws IOException {
    return Files.readString(folder.resolve(node.name + ".log"), StandardCharsets.UTF_8);
  }

  /** Ends a further process with this run. */
  void endWithTheRun(Process process) {
    others.add(process);
  }

  private void endAll() {
    others.forEach(Process::destroyForcibly);
    nodes.forEach(node -> node.process.destroyForcibly());
    for (Node node : nodes) {
      try {
        node.process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException ended) {
        Thread.currentThread().interrupt();
      }
    }
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.deleteIfExists(file);
      }
      Files.deleteIfExists(folder);
    } catch (IOException left) {
      // A temporary folder that is left behind does no harm.
    }
  }

  @Override
  public void close() {
    endAll();
  }
}
