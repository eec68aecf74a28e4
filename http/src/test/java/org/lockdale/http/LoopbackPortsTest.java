package org.lockdale.http;

import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests that chosen ports are free and are not assigned to anyone else before they are bound. */
public final class LoopbackPortsTest {

  private static final int TRIES = 200;

  @Test
  public void aPortIsFreeForBothProtocolsAndNeverHandedOutByTheSystem() throws IOException {
    for (int attempt = 0; attempt < TRIES; attempt++) {
      InetSocketAddress address = LoopbackPorts.free();
      try (ServerSocket stream = new ServerSocket(address.getPort(), 1, address.getAddress());
          DatagramSocket datagrams = new DatagramSocket(address);
          ServerSocket ephemeral = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        assertTrue(stream.isBound() && datagrams.isBound());
        assertTrue(address.getPort() < ephemeral.getLocalPort(), "below the ephemeral range");
      }
    }
  }

  /**
   * A port that is chosen but not yet bound looks free. If it were chosen again, one of two
   * processes that are started on it could not listen.
   */
  @Test
  public void aPortIsGivenOnce() {
    Set<Integer> given = new HashSet<>();
    for (int attempt = 0; attempt < 1_000; attempt++) {
      assertTrue(given.add(LoopbackPorts.free().getPort()), "given twice");
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
