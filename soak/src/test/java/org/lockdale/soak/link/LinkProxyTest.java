package org.lockdale.soak.link;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import org.lockdale.platform.RawBackend;
import org.lockdale.platform.RawCaller;
import org.lockdale.soak.plan.Deployment;
import org.lockdale.soak.plan.Fault.ConnectTrouble;
import org.lockdale.soak.plan.Fault.LinkTrouble;
import org.lockdale.soak.plan.Fault.OpenTrouble;
import org.lockdale.soak.standin.Addresses;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks that faults are injected into the given links and no others. */
public final class LinkProxyTest {

  private static final String SERVER = "server";
  private static final int TIMEOUT_MILLIS = 10_000;

  /** Time without a response after which a link counts as silent; a working one needs less. */
  private static final int SILENCE_MILLIS = 300;

  private static final int CONNECT_TIMEOUT_MILLIS = 300;

  private LinkProxy proxy;
  private RawBackend server;
  private InetSocketAddress proxied;
  private InetSocketAddress real;

  @BeforeMethod
  public void start() throws IOException {
    real = Addresses.claim().realAddress(Addresses.SERVERS_GROUP, 1, Addresses.SERVICE_PORT);
    proxied = Addresses.proxiedAddress(real);
    server =
        new RawBackend(
            SERVER,
            real,
            (request, connection) ->
                RawBackend.write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\necho"));
    proxy = new LinkProxy((what, sinceMillis) -> {});
    proxy.setProcess(Deployment.CALLERS, ProcessHandle.current().pid());
    proxy.listen(null, SERVER, proxied, real);
  }

  @AfterMethod(alwaysRun = true)
  public void stop() throws IOException {
    proxy.close();
    server.close();
  }

  private RawCaller open() throws IOException {
    RawCaller caller = new RawCaller(proxied, TIMEOUT_MILLIS);
    assertEquals(call(caller), "echo");
    return caller;
  }

  private static String call(RawCaller caller) throws IOException {
    caller.setReadTimeout(TIMEOUT_MILLIS);
    sendRequest(caller);
    return caller.read().body();
  }

  private static void sendRequest(RawCaller caller) throws IOException {
    caller.send("GET /x HTTP/1.1\r\nHost: server\r\n\r\n");
  }

  private void inject(LinkTrouble trouble) {
    proxy.inject(Deployment.CALLERS, SERVER, trouble);
  }

  private void remove(LinkTrouble trouble) {
    proxy.remove(Deployment.CALLERS, SERVER, trouble);
  }

  @Test
  public void faultsOfOtherLinksHaveNoEffect() throws IOException {
    try (RawCaller caller = open()) {
      proxy.inject("node-1", SERVER, LinkTrouble.CUT_FORTH);
      assertEquals(call(caller), "echo");
    }
  }

  @Test
  public void partitionHoldsBytesUpUntilItIsRemoved() throws IOException {
    for (LinkTrouble cut : new LinkTrouble[] {LinkTrouble.CUT_FORTH, LinkTrouble.CUT_BACK}) {
      server.received().clear();
      try (RawCaller caller = open()) {
        inject(cut);
        sendRequest(caller);
        caller.setReadTimeout(SILENCE_MILLIS);
        assertThrows(SocketTimeoutException.class, caller::read);
        assertEquals(server.received().size(), cut == LinkTrouble.CUT_FORTH ? 1 : 2);
        remove(cut);
        caller.setReadTimeout(TIMEOUT_MILLIS);
        assertEquals(caller.read().body(), "echo");
      }
    }
  }

  @Test
  public void aResetEndsOpenConnections() throws IOException {
    try (RawCaller caller = open();
        RawCaller next = open()) {
      inject(LinkTrouble.RESET);
      assertEquals(caller.read().status(), 0);
      assertEquals(next.read().status(), 0);
    }
    open().close();
  }

  @Test
  public void aSilencedConnectionStaysSilentWhileNewOnesWork() throws IOException {
    try (RawCaller caller = open()) {
      inject(LinkTrouble.SILENCED);
      remove(LinkTrouble.SILENCED);
      caller.setReadTimeout(SILENCE_MILLIS);
      sendRequest(caller);
      assertThrows(SocketTimeoutException.class, caller::read);
      open().close();
    }
  }

  @Test
  public void aDelayedLinkPassesEverythingInOrder() throws IOException {
    try (RawCaller caller = open()) {
      inject(LinkTrouble.DELAYED);
      assertEquals(call(caller), "echo");
      sendRequest(caller);
      remove(LinkTrouble.DELAYED);
      sendRequest(caller);
      assertEquals(caller.read().body(), "echo");
      assertEquals(caller.read().body(), "echo");
    }
  }

  @Test
  public void aCutProcessCannotConnectWhileOthersCan() throws IOException {
    InetSocketAddress own = Addresses.serverAddressFor(1, real);
    InetSocketAddress other = Addresses.serverAddressFor(2, real);
    proxy.listenForPair(Deployment.CALLERS, SERVER, own, real);
    proxy.listen("node-2", SERVER, other, real);
    for (ConnectTrouble trouble : ConnectTrouble.values()) {
      proxy.pairs().cut(Deployment.CALLERS, trouble, OpenTrouble.RESET);
      assertThrows(IOException.class, () -> new RawCaller(own, CONNECT_TIMEOUT_MILLIS));
      try (RawCaller caller = new RawCaller(other, TIMEOUT_MILLIS)) {
        assertEquals(call(caller), "echo");
      }
      proxy.pairs().restore(Deployment.CALLERS);
      try (RawCaller caller = new RawCaller(own, TIMEOUT_MILLIS)) {
        assertEquals(call(caller), "echo");
      }
    }
  }

  @Test
  public void openConnectionsOfACutProcessAreResetOrSilent() throws IOException {
    InetSocketAddress own = Addresses.serverAddressFor(1, real);
    proxy.listenForPair(Deployment.CALLERS, SERVER, own, real);
    try (RawCaller silent = new RawCaller(own, TIMEOUT_MILLIS)) {
      assertEquals(call(silent), "echo");
      proxy.pairs().cut(Deployment.CALLERS, ConnectTrouble.REFUSED, OpenTrouble.SILENT);
      sendRequest(silent);
      silent.setReadTimeout(SILENCE_MILLIS);
      assertThrows(SocketTimeoutException.class, silent::read);
      proxy.pairs().cut(Deployment.CALLERS, ConnectTrouble.REFUSED, OpenTrouble.RESET);
      silent.setReadTimeout(TIMEOUT_MILLIS);
      assertEquals(silent.read().status(), 0);
      proxy.pairs().restore(Deployment.CALLERS);
      assertThrows(IOException.class, () -> new RawCaller(own, CONNECT_TIMEOUT_MILLIS));
      proxy.pairs().restore(Deployment.CALLERS);
      new RawCaller(own, TIMEOUT_MILLIS).close();
    }
  }
}
