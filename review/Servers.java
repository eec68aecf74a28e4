import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A stand-in for a server of the platform: one request at a time on each connection. */
abstract class Servers {

  final String id;
  final String service;
  final InetSocketAddress address;
  private final ServerSocket listener;

  Servers(String id, String service, InetSocketAddress address) throws IOException {
    this.id = id;
    this.service = service;
    this.address = address;
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(address, 200);
    start("accept", this::accept);
  }

  static void start(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  String addressText() {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** The server's row in the platform's store. */
  String row(String zone, int slots, String more) {
    return "{\"service\":\"" + service + "\",\"address\":\"" + addressText() + "\",\"zone\":\""
        + zone + "\",\"version\":\"1.0\",\"slots\":" + slots
        + ",\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":1" + more + "}";
  }

  private void accept() {
    while (true) {
      try {
        Socket connection = listener.accept();
        start("serve", () -> serve(connection));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      connection.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(connection.getInputStream());
      OutputStream out = new BufferedOutputStream(connection.getOutputStream(), 65_536);
      for (Wire.Head head = Wire.head(in); head != null; head = Wire.head(in)) {
        byte[] body = Wire.body(in, head);
        String target = head.get("Lockdale-Target-Instance");
        if (target != null && !target.equals(id)) {
          write(out, "HTTP/1.1 421 Misdirected Request\r\nLockdale-Instance-Id: " + id
              + "\r\nLockdale-Request-Id: " + head.get("Lockdale-Request-Id")
              + "\r\nContent-Length: 0\r\n\r\n");
        } else {
          answer(head, body, out);
        }
        out.flush();
      }
    } catch (IOException | InterruptedException closed) {
      // The peer has left.
    }
  }

  abstract void answer(Wire.Head head, byte[] body, OutputStream out)
      throws IOException, InterruptedException;

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  static void json(OutputStream out, int status, String body) throws IOException {
    write(out, "HTTP/1.1 " + status + " S\r\nContent-Type: application/json\r\nContent-Length: "
        + body.length() + "\r\n\r\n" + body);
  }
}
