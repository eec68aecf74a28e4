package org.lockdale.soak.link;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Checks that addresses of servers are replaced wherever the bytes are divided. */
public final class ServerAddressRewriterTest {

  private static final String RECEIVED =
      "1 127.16.111.2:8782, 127.250.102.33:8782 127.16.101.2:8782";
  private static final String EXPECTED =
      "1 127.16.113.2:8782, 127.250.113.33:8782 127.16.101.2:8782";

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  @Test
  public void addressesAreReplacedWhereverTheBytesAreDivided() {
    for (int division = 0; division <= RECEIVED.length(); division++) {
      ServerAddressRewriter rewriter = new ServerAddressRewriter(3);
      String rewritten =
          text(rewriter.rewrite(bytes(RECEIVED.substring(0, division))))
              + text(rewriter.rewrite(bytes(RECEIVED.substring(division))))
              + text(rewriter.takeHeld());
      assertEquals(rewritten, EXPECTED);
    }
  }

  @Test
  public void binaryBytesStayUnchanged() {
    byte[] all = new byte[256];
    for (int value = 0; value < all.length; value++) {
      all[value] = (byte) value;
    }
    ServerAddressRewriter rewriter = new ServerAddressRewriter(3);
    assertEquals(rewriter.rewrite(all), all);
  }
}
