import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/** A server that answers without a length crashes in the middle of its answer. */
final class CutCase {

  private static final String FIRST_HALF = "balance 1250, ";
  private static final String SECOND_HALF = "blocked: yes";

  private CutCase() {}

  /** A server process: it writes an answer without a length in two parts, 1.5 s apart. */
  static final class Server {
    public static void main(String[] arguments) throws Exception {
      ServerSocket listener = new ServerSocket();
      listener.bind(new InetSocketAddress(
          InetAddress.getByName(arguments[1]), Integer.parseInt(arguments[2])));
      System.out.println("up");
      Servers.start("end", () -> {
        try {
          while (System.in.read() >= 0) {
            continue;
          }
        } catch (IOException ended) {
          // The driver has ended.
        }
        System.exit(0);
      });
      while (true) {
        Socket connection = listener.accept();
        Servers.start("serve", () -> serve(arguments[0], connection));
      }
    }

    private static void serve(String id, Socket connection) {
      try (connection) {
        InputStream in = new BufferedInputStream(connection.getInputStream());
        Wire.Head head = Wire.head(in);
        if (head == null) {
          return;
        }
        Wire.body(in, head);
        if (!id.equals(head.get("Lockdale-Target-Instance"))) {
          write(connection, "HTTP/1.1 421 M\r\nLockdale-Request-Id: "
              + head.get("Lockdale-Request-Id") + "\r\nContent-Length: 0\r\n\r\n");
          return;
        }
        write(connection, "HTTP/1.1 200 OK\r\nLockdale-Request-Id: "
            + head.get("Lockdale-Request-Id") + "\r\nLockdale-Response-Signature: s."
            + head.get("Lockdale-Request-Id")
            + "\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n" + FIRST_HALF);
        Thread.sleep(1_500);
        write(connection, SECOND_HALF);
      } catch (IOException | InterruptedException left) {
        // The node has left.
      }
    }

    private static void write(Socket connection, String text) throws IOException {
      connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
  }

  public static void main(String[] arguments) throws Exception {
    int status = 2;
    try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
      status = run(deployment);
      deployment.note(status == 1 ? "the rule MIXED was broken" : "the rule MIXED held");
    } catch (Exception failed) {
      failed.printStackTrace();
    }
    System.exit(status);
  }

  private static int run(Deployment deployment) throws Exception {
    var storeAddress = Deployment.address(100);
    Store store = new Store(storeAddress);
    store.put("op", "config", "{\"version\":11,\"routes\":[{\"name\":\"checks\",\"host\":"
        + "\"cards.example\",\"pathPrefix\":\"/checks/\",\"kind\":\"unsafe\",\"service\":\"ledger\","
        + "\"timeoutMs\":4000,\"targetLatencyMs\":2000,\"maxAttempts\":1,\"priority\":2}],"
        + "\"services\":[{\"name\":\"ledger\",\"healthPath\":\"/health\",\"maxConnections\":100}],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
        + "\"idleTimeoutMs\":15000},\"tenants\":[]}");
    InetSocketAddress address = Deployment.address(61);
    Process server = new ProcessBuilder(List.of(
        ProcessHandle.current().info().command().orElse("java"), "-Xmx64m", "-cp", "target/review",
        "CutCase$Server", "i-0000000d", address.getAddress().getHostAddress(),
        Integer.toString(address.getPort())))
        .redirectError(ProcessBuilder.Redirect.DISCARD).start();
    deployment.endWithTheRun(server);
    if (server.getInputStream().read() < 0) {
      throw new IOException("the server did not start");
    }
    store.put("servers", "i-0000000d", "{\"service\":\"ledger\",\"address\":\""
        + Deployment.text(address) + "\",\"zone\":\"za\",\"version\":\"1.0\",\"slots\":6,"
        + "\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":1}");
    Deployment.Node node = deployment.start("front-za-1", "za", 1, storeAddress);
    deployment.awaitReady(node);
    Thread.sleep(2_000);

    try (Socket connection = new Socket()) {
      connection.connect(node.front(), 1_000);
      connection.setSoTimeout(6_000);
      connection.getOutputStream().write(("POST /checks/2f HTTP/1.1\r\nHost: cards.example\r\n"
          + "Lockdale-Request-Id: q1\r\nLockdale-Deadline-Ms: 4000\r\nConnection: close\r\n"
          + "Content-Length: 4\r\n\r\ncard").getBytes(StandardCharsets.ISO_8859_1));
      deployment.note("client sends q1 to " + node.name());
      Thread.sleep(800);
      if (deployment.trouble) {
        server.destroyForcibly().waitFor();
        deployment.note("the server's process was killed after '" + FIRST_HALF + "'");
      }
      InputStream in = new BufferedInputStream(connection.getInputStream());
      Wire.Head head = Wire.head(in);
      String body = head == null ? "" : new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
      deployment.note("client gets " + (head == null ? "a closed connection" : head.line()
          + ", signature " + head.get("Lockdale-Response-Signature") + ", Content-Length "
          + head.get("Content-Length")) + ", body '" + body + "'");
      boolean whole = head != null && head.get("Content-Length") != null
          && body.length() == Integer.parseInt(head.get("Content-Length"));
      boolean success = head != null && head.status() / 100 == 2 && whole;
      if (!deployment.trouble && !(success && body.equals(FIRST_HALF + SECOND_HALF))) {
        throw new IOException("the request was not served although nothing was disrupted");
      }
      return success && !body.equals(FIRST_HALF + SECOND_HALF) ? 1 : 0;
    }
  }
}
