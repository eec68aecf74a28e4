import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A machine is stopped as planned while clients read their answers at the rate of a slow link. */
final class StopCase {

  private static final int ANSWER_BYTES = 9_000_000;
  private static final int BYTES_PER_SECOND = 1_280_000;
  private static final int CLIENTS = 2;

  /** What a client got: the bytes of the body, and whether the connection ended before its length. */
  private static final class Reading implements Runnable {
    private final Deployment deployment;
    private final Deployment.Node node;
    private final String id;
    volatile long read;
    volatile long length = -1;
    volatile String end = "is still reading";

    Reading(Deployment deployment, Deployment.Node node, String id) {
      this.deployment = deployment;
      this.node = node;
      this.id = id;
    }

    @Override
    public void run() {
      try (Socket connection = new Socket()) {
        connection.setReceiveBufferSize(65_536);
        connection.connect(node.front(), 1_000);
        connection.setSoTimeout(8_000);
        String request = "GET /cards/work-60-" + ANSWER_BYTES + " HTTP/1.1\r\nHost: cards.example\r\n"
            + "Lockdale-Request-Id: " + id + "\r\nLockdale-Deadline-Ms: 15000\r\n\r\n";
        connection.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        deployment.note("client sends " + id + " to " + node.name());
        InputStream in = connection.getInputStream();
        Wire.Head head = Wire.head(in);
        deployment.note("client gets for " + id + ": " + head.line());
        length = Long.parseLong(head.get("Content-Length"));
        byte[] part = new byte[BYTES_PER_SECOND / 50];
        long began = System.nanoTime();
        while (read < length) {
          int got = in.read(part, 0, (int) Math.min(part.length, length - read));
          if (got < 0) {
            break;
          }
          read += got;
          long due = began + read * 1_000_000_000L / BYTES_PER_SECOND;
          long early = (due - System.nanoTime()) / 1_000_000;
          if (early > 0) {
            Thread.sleep(early);
          }
        }
        end = read == length ? "has the whole answer" : "the connection was closed";
      } catch (IOException | InterruptedException failed) {
        end = "the connection failed: " + failed.getMessage();
      }
      deployment.note("client " + id + ": " + end + ", " + read + " of " + length + " bytes");
    }
  }

  private StopCase() {}

  public static void main(String[] arguments) throws Exception {
    int status = 2;
    try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
      status = run(deployment);
      deployment.note(status == 1 ? "the rule LOST was broken" : "the rule LOST held");
    } catch (Exception failed) {
      failed.printStackTrace();
    }
    System.exit(status);
  }

  private static int run(Deployment deployment) throws Exception {
    var storeAddress = Deployment.address(100);
    Store store = new Store(storeAddress);
    LedgerServers server = new LedgerServers(deployment::note, "i-0000000c", Deployment.address(31));
    store.put("op", "config", configuration());
    store.put("servers", server.id, server.row("za", 6, ""));
    Deployment.Node one = deployment.start("front-za-1", "za", 1, storeAddress);
    Deployment.Node two = deployment.start("front-za-2", "za", 2, storeAddress);
    deployment.awaitReady(one);
    deployment.awaitReady(two);
    Thread.sleep(4_000);

    List<Reading> readings = new ArrayList<>();
    List<Thread> clients = new ArrayList<>();
    for (int client = 1; client <= CLIENTS; client++) {
      Reading reading = new Reading(deployment, one, "c" + client);
      readings.add(reading);
      Thread thread = new Thread(reading, "client");
      thread.start();
      clients.add(thread);
    }
    Thread.sleep(500);
    if (deployment.trouble) {
      deployment.note("SIGTERM to " + one.name() + ", SIGKILL would follow after graceS (8 s)");
      one.signal("TERM");
      Servers.start("exit", () -> {
        one.process().onExit().join();
        deployment.note("node " + one.name() + " has ended with status " + one.process().exitValue());
      });
    }
    for (Thread client : clients) {
      client.join(30_000);
    }
    Thread.sleep(200);
    int lost = 0;
    for (Reading reading : readings) {
      lost += reading.read < reading.length || reading.length < 0 ? 1 : 0;
    }
    deployment.note(lost + " of " + CLIENTS + " answers were cut short");
    return lost > 0 ? 1 : 0;
  }

  private static String configuration() {
    return "{\"version\":11,\"routes\":[{\"name\":\"cards\",\"host\":\"cards.example\","
        + "\"pathPrefix\":\"/cards/\",\"kind\":\"safe\",\"service\":\"ledger\",\"timeoutMs\":15000,"
        + "\"targetLatencyMs\":1000,\"maxAttempts\":2,\"priority\":2}],\"services\":[{\"name\":"
        + "\"ledger\",\"healthPath\":\"/health\",\"maxConnections\":100}],\"limits\":"
        + "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,"
        + "\"idleTimeoutMs\":60000},\"tenants\":[]}";
  }
}
