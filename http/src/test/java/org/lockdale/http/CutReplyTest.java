package org.lockdale.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A peer stops within a reply, after each of its bytes, and closes or resets the connection. The
 * reply must not be taken for a whole one with a short body or none.
 */
public final class CutReplyTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final String STATUS = "HTTP/1.1 200 OK\r\n";
  private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  private static final String BODY = "a body of some bytes";
  private static final String LENGTH = "Content-Length: " + BODY.length() + "\r\n";

  private EventLoopGroup group;
  private HttpClient client;
  private ServerSocket listener;
  private volatile byte[] reply;
  private volatile boolean reset;

  @BeforeMethod
  public void start() throws IOException {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    client = new HttpClient(group, TIMEOUT);
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread server = new Thread(this::serve, "cut-reply");
    server.setDaemon(true);
    server.start();
  }

  @AfterMethod(alwaysRun = true)
  public void stop() throws IOException {
    listener.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void serve() {
    while (!listener.isClosed()) {
      try (Socket connection = listener.accept()) {
        BufferedReader request =
            new BufferedReader(
                new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
        while (!request.readLine().isEmpty()) {
          // The head is skipped; requests have no body.
        }
        connection.getOutputStream().write(reply);
        if (reset) {
          connection.setSoLinger(true, 0);
        }
      } catch (IOException closed) {
        // The listener or a connection was closed.
      }
    }
  }

  /** Whole replies, and the number of their bytes after which an orderly close ends them. */
  @DataProvider
  public Object[][] replies() {
    String chunked = "Transfer-Encoding: chunked\r\n";
    String chunks = "5\r\na bod\r\nf\r\ny of some bytes\r\n0\r\n";
    String lengthHead = STATUS + "Signature: s\r\n" + LENGTH + "\r\n";
    String openHead = STATUS + "Signature: s\r\nContent-Type: text/plain\r\n\r\n";
    List<Object[]> cases = new ArrayList<>();
    cases.add(new Object[] {"length", lengthHead + BODY, lengthHead.length() + BODY.length()});
    cases.add(new Object[] {"length last", STATUS + LENGTH + "\r\n" + BODY, -1});
    cases.add(new Object[] {"chunks", STATUS + chunked + "\r\n" + chunks + "\r\n", -1});
    cases.add(new Object[] {"trailers", STATUS + chunked + "\r\n" + chunks + "Sum: 7\r\n\r\n", -1});
    cases.add(new Object[] {"close", openHead + BODY, openHead.length()});
    cases.add(new Object[] {"interim", INTERIM + lengthHead + BODY, -1});
    cases.add(
        new Object[] {"interim, close", INTERIM + openHead + BODY, (INTERIM + openHead).length()});
    cases.add(new Object[] {"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + LENGTH + "\r\n" + BODY, -1});
    return cases.toArray(Object[][]::new);
  }

  private HttpReply exchange() throws Exception {
    InetSocketAddress address = (InetSocketAddress) listener.getLocalSocketAddress();
    return client
        .exchange(address, HttpRequestMessage.get("/"), TIMEOUT)
        .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  @Test(dataProvider = "replies")
  public void aReplyThatIsCutShortFails(String name, String whole, int closeEnds) {
    int firstWhole = closeEnds < 0 ? whole.length() : closeEnds;
    for (int bytes = 0; bytes < firstWhole; bytes++) {
      reply = whole.substring(0, bytes).getBytes(StandardCharsets.US_ASCII);
      for (boolean withReset : new boolean[] {false, true}) {
        reset = withReset;
        expectThrows(ExecutionException.class, this::exchange);
      }
    }
  }

  @Test(dataProvider = "replies")
  public void aWholeReplyIsReceived(String name, String whole, int closeEnds) throws Exception {
    reply = whole.getBytes(StandardCharsets.US_ASCII);
    reset = false;
    HttpReply received = exchange();
    assertEquals(received.status(), 200);
    assertEquals(new String(received.body(), StandardCharsets.US_ASCII), BODY);
  }

  @Test
  public void aReplyWithTwoLengthsFails() {
    reply = (STATUS + LENGTH + LENGTH + "\r\n" + BODY).getBytes(StandardCharsets.US_ASCII);
    reset = false;
    expectThrows(ExecutionException.class, this::exchange);
  }
}
