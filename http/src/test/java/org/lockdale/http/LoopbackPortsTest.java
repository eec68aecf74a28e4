package org.lockdale.http;

import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import org.testng.annotations.Test;

/** Ports for processes that listen later can't be handed out to others meanwhile. */
public final class LoopbackPortsTest {

  private static final int TRIES = 200;

  @Test
  public void aPortIsFreeForBothProtocolsAndNeverHandedOutByTheSystem() throws IOException {
    for (int attempt = 0; attempt < TRIES; attempt++) {
      InetSocketAddress address = LoopbackPorts.free();
      try (ServerSocket stream = new ServerSocket(address.getPort(), 1, address.getAddress());
          DatagramSocket datagrams = new DatagramSocket(address);
          ServerSocket handedOut = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        assertTrue(stream.isBound() && datagrams.isBound());
        assertTrue(address.getPort() < handedOut.getLocalPort(), "below what is handed out");
      }
    }
  }

  @Test
  public void aPortInUseIsNotChosen() throws IOException {
    InetSocketAddress taken = LoopbackPorts.free();
    try (ServerSocket stream = new ServerSocket(taken.getPort(), 1, taken.getAddress())) {
      for (int attempt = 0; attempt < TRIES; attempt++) {
        assertNotEquals(LoopbackPorts.free().getPort(), stream.getLocalPort());
      }
    }
  }
}
