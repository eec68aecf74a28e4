import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A path of one machine. While it is cut, bytes are held up in both directions, and arrive in order
 * once it has healed.
 */
final class Proxy {

  private static final int PART_BYTES = 16_384;

  private final InetSocketAddress address;
  private final InetSocketAddress target;
  private boolean cut;

  Proxy(InetSocketAddress address, InetSocketAddress target) throws IOException {
    this.address = address;
    this.target = target;
    ServerSocket listener = new ServerSocket();
    listener.bind(address, 200);
    Servers.start("proxy", () -> accept(listener));
  }

  synchronized void cut() {
    cut = true;
  }

  synchronized void heal() {
    cut = false;
    notifyAll();
  }

  private synchronized void awaitPath() throws InterruptedException {
    while (cut) {
      wait();
    }
  }

  private void accept(ServerSocket listener) {
    while (true) {
      try {
        Socket near = listener.accept();
        Servers.start("proxy", () -> connect(near));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void connect(Socket near) {
    try {
      awaitPath();
      Socket far = new Socket();
      // The store tells the callers on this path apart by its address.
      far.bind(new InetSocketAddress(address.getAddress(), 0));
      far.connect(target, 1_000);
      near.setTcpNoDelay(true);
      far.setTcpNoDelay(true);
      Servers.start("proxy", () -> forward(near, far));
      forward(far, near);
    } catch (IOException | InterruptedException failed) {
      close(near);
    }
  }

  private void forward(Socket from, Socket to) {
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] part = new byte[PART_BYTES];
      for (int got = in.read(part); got >= 0; got = in.read(part)) {
        awaitPath();
        out.write(part, 0, got);
      }
      awaitPath();
      to.shutdownOutput();
    } catch (IOException | InterruptedException ended) {
      close(from);
      close(to);
    }
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException ignored) {
      // It is closed already.
    }
  }
}
