package org.lockdale.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which texts are addresses. */
public final class ValueParsersTest {

  @DataProvider
  public Object[] addresses() {
    return new Object[] {
      "10.0.0.5:7080",
      "0.0.0.0:0",
      "255.255.255.255:65535",
      "[0:0:0:0:0:0:0:1]:80",
      "[fd00:0:0:0:0:0:0:5]:9"
    };
  }

  @Test(dataProvider = "addresses")
  public void anIpAddressWithAPortIsParsed(String text) {
    assertEquals(ValueParsers.address(text).toString().replaceFirst("^/", ""), text);
  }

  @DataProvider
  public Object[] others() {
    return new Object[] {
      "999.1.1.1:80",
      "1.2.3:80",
      "1.2.3.4.5:80",
      "1..2.3:80",
      "1.2.3.4.:80",
      "12345:80",
      "[cafe]:80",
      "[:::]:80",
      "[1:2:3:4:5:6:7:8:9]:80",
      "10.0.0.5:65536",
      "10.0.0.5:99999999999999999999",
      "10.0.0.5:-1",
      "10.0.0.5",
      "host.example:80"
    };
  }

  /** A name would be looked up on the thread that reads the list, which may take seconds. */
  @Test(dataProvider = "others")
  public void anythingElseIsRejectedWithoutALookup(String text) {
    expectThrows(IllegalArgumentException.class, () -> ValueParsers.address(text));
  }
}
