import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in for model servers: KV cache by salt, the moves between servers, events, reports, and
 * streams of a few events. It notes whose memory each run uses.
 */
final class Engines extends Servers {

  static final String MODEL = "m0";

  private static final Map<String, Engines> ALL = new ConcurrentHashMap<>();

  /** A kept part: the request that made it, the tenant of that request, its size. */
  private record Part(String salt, String id, int tokens, String request, String tenant) {}

  /** A use of a kept part by a run. */
  record Use(String request, String tenant, String part, String madeBy, String madeFor) {}

  private final Deployment deployment;
  private final List<Use> uses;
  private final Map<String, Part> kept = new ConcurrentHashMap<>();
  private final List<Part> made = new ArrayList<>();

  Engines(Deployment deployment, String id, InetSocketAddress address, List<Use> uses)
      throws IOException {
    super(id, "llm", address);
    this.deployment = deployment;
    this.uses = uses;
    ALL.put(addressText(), this);
  }

  String row(String zone) {
    return row(zone, 64, ",\"stage\":\"colocated\",\"models\":" + models());
  }

  private static String models() {
    return "[{\"name\":\"" + MODEL + "\",\"version\":1,\"adapters\":[]}]";
  }

  @Override
  void answer(Wire.Head head, byte[] body, OutputStream out)
      throws IOException, InterruptedException {
    String path = head.line().split(" ")[1];
    if (path.startsWith("/report")) {
      json(out, 200, "{\"stage\":\"colocated\",\"models\":" + models() + ",\"busy\":false,\"seq\":0,"
          + "\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":110556,\"handles\":0}");
    } else if (path.startsWith("/kv-events")) {
      events(head, path, out);
    } else if (path.startsWith("/kv-list")) {
      json(out, 200, "{\"bootEpoch\":1,\"nextPageToken\":0,\"held\":[]}");
    } else {
      run(head, out);
    }
  }

  private void events(Wire.Head head, String path, OutputStream out)
      throws IOException, InterruptedException {
    int since = Integer.parseInt(path.replaceAll(".*since=([0-9]+).*", "$1"));
    long end = System.nanoTime()
        + Long.parseLong(head.get("Wait-Ms") == null ? "0" : head.get("Wait-Ms")) * 1_000_000;
    StringBuilder list = new StringBuilder();
    int last;
    synchronized (made) {
      while (made.size() <= since && System.nanoTime() < end) {
        made.wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
      }
      last = made.size();
      for (int number = since; number < last; number++) {
        Part part = made.get(number);
        list.append(list.length() == 0 ? "" : ",").append("[" + (number + 1) + ",\"+\",\""
            + part.salt + "\",\"" + part.id + "\"," + part.tokens + ",\"" + MODEL + "\"]");
      }
    }
    json(out, 200, "{\"bootEpoch\":1,\"nextPageToken\":" + last + ",\"lost\":false,\"events\":["
        + list + "]}");
  }

  private void run(Wire.Head head, OutputStream out) throws IOException, InterruptedException {
    String request = head.get("Lockdale-Request-Id");
    String tenant = head.get("Lockdale-Tenant");
    String salt = head.get("Lockdale-Cache-Salt") == null ? "" : head.get("Lockdale-Cache-Salt");
    String expected = head.get("Lockdale-Expected-Version");
    if (expected != null && !expected.equals("1")) {
      write(out, "HTTP/1.1 421 M\r\nLockdale-Request-Id: " + request
          + "\r\nLockdale-Weight-Versions: 1\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    Engines source = head.get("Lockdale-Kv-Fetch") == null
        ? null : ALL.get(head.get("Lockdale-Kv-Fetch"));
    boolean prefix = true;
    StringBuilder found = new StringBuilder();
    for (String item : head.get("Lockdale-Prefix-Hash").split(",")) {
      String part = item.split(":")[0];
      Part known = kept.get(salt + "/" + part);
      if (known == null && source != null) {
        known = source.kept.get(salt + "/" + part);
      }
      prefix &= known != null;
      if (prefix) {
        uses.add(new Use(request, tenant, part, known.request, known.tenant));
        found.append(" ").append(part).append(" (made by ").append(known.request).append(" of ")
            .append(known.tenant).append(")");
        kept.putIfAbsent(salt + "/" + part, known);
      } else {
        keep(new Part(salt, part, Integer.parseInt(item.split(":")[1]), request, tenant));
      }
    }
    deployment.note("server " + id + " runs " + request + " of tenant " + tenant + ", salt '"
        + salt + "', kept parts used:" + (found.length() == 0 ? " none" : found));
    write(out, "HTTP/1.1 200 OK\r\nLockdale-Request-Id: " + request
        + "\r\nLockdale-Response-Signature: s." + request + "\r\nLockdale-Weight-Versions: 1"
        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int event = 1; event <= 3; event++) {
      String text = "id: " + event + "\ndata: piece\n\n";
      write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
      out.flush();
      Thread.sleep(10);
    }
    write(out, "0\r\n\r\n");
  }

  private void keep(Part part) {
    if (kept.putIfAbsent(part.salt + "/" + part.id, part) == null) {
      synchronized (made) {
        made.add(part);
        made.notifyAll();
      }
    }
  }
}
