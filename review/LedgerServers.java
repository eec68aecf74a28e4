import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * A stand-in for the servers of a plain service. The path ends with {@code work-MILLIS-BYTES}: it
 * works for that long and answers with that many bytes.
 */
final class LedgerServers extends Servers {

  private final Consumer<String> notes;

  LedgerServers(Consumer<String> notes, String id, InetSocketAddress address) throws IOException {
    super(id, "ledger", address);
    this.notes = notes;
  }

  /**
   * Serves as a process of its own: {@code ID IP PORT} for each server in it. With {@code -Dtells=true}
   * it writes what it runs to its standard output.
   */
  public static void main(String[] arguments) throws Exception {
    Consumer<String> notes = Boolean.getBoolean("tells") ? System.out::println : note -> {};
    for (int at = 0; at < arguments.length; at += 3) {
      InetAddress host = InetAddress.getByName(arguments[at + 1]);
      int port = Integer.parseInt(arguments[at + 2]);
      new LedgerServers(notes, arguments[at], new InetSocketAddress(host, port));
    }
    System.out.println("up");
    // Ends with the driver, whose end closes the standard input.
    while (System.in.read() >= 0) {
      continue;
    }
    System.exit(0);
  }

  @Override
  void answer(Wire.Head head, byte[] body, OutputStream out)
      throws IOException, InterruptedException {
    String path = head.line().split(" ")[1];
    String request = head.get("Lockdale-Request-Id");
    if (path.equals("/health")) {
      write(out, "HTTP/1.1 200 OK\r\nLockdale-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    String[] work = path.substring(path.indexOf("work-")).split("-");
    notes.accept("server " + id + " runs " + request);
    Thread.sleep(Long.parseLong(work[1]));
    byte[] answer = new byte[Integer.parseInt(work[2])];
    Arrays.fill(answer, (byte) 'x');
    write(out, "HTTP/1.1 200 OK\r\nLockdale-Request-Id: " + request
        + "\r\nLockdale-Response-Signature: s." + request + "\r\nContent-Length: " + answer.length
        + "\r\n\r\n");
    out.write(answer);
    out.flush();
    notes.accept("server " + id + " has sent the whole answer to " + request);
  }
}
