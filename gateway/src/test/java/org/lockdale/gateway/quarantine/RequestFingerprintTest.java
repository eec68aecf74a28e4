package org.lockdale.gateway.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests which attempts count as the same request. */
public final class RequestFingerprintTest {

  private static RequestFingerprint of(String id, String uri, String body, String caller) {
    return RequestFingerprint.of(Requests.of(id, uri, body), caller);
  }

  @Test
  public void triesOfOneRequestAreTheSameWhateverTheirIdsAndResumePoints() {
    RequestFingerprint first = of("r1", "/a?b=1", "body", "tenant");
    assertEquals(of("r2", "/a?b=1", "body", "tenant"), first);
    assertEquals(RequestFingerprint.of(Requests.of("r3", "/a?b=1", "body", "12"), "tenant"), first);
  }

  @Test
  public void pathQueryCallerAndBodyDistinguishRequests() {
    RequestFingerprint first = of("r1", "/a?b=1", "body", "tenant");
    assertNotEquals(of("r1", "/a", "body", "tenant"), first);
    assertNotEquals(of("r1", "/a?b=2", "body", "tenant"), first);
    assertNotEquals(of("r1", "/a?b=1", "bodi", "tenant"), first);
    assertNotEquals(of("r1", "/a?b=1", "body", "another"), first);
  }

  @Test
  public void fieldsAreDelimitedInTheDigest() {
    assertNotEquals(of("r1", "/ab", "c", "t"), of("r1", "/a", "c", "bt"));
    assertNotEquals(of("r1", "/a", "tc", ""), of("r1", "/a", "c", "t"));
  }

  @Test
  public void equalRequestsHaveEqualSketches() {
    int sketch = RequestFingerprint.sketchOf(Requests.of("r1", "/a", "body"), "tenant");
    assertEquals(RequestFingerprint.sketchOf(Requests.of("r2", "/a", "idob"), "tenant"), sketch);
    assertNotEquals(
        RequestFingerprint.sketchOf(Requests.of("r1", "/a", "bodys"), "tenant"), sketch);
    assertNotEquals(RequestFingerprint.sketchOf(Requests.of("r1", "/a", "body"), "other"), sketch);
  }

  @Test
  public void theTextIsThirtyTwoHexadecimalDigits() {
    RequestFingerprint fingerprint = new RequestFingerprint(1, -1);
    assertEquals(fingerprint.toString(), "0000000000000001ffffffffffffffff");
    assertEquals(RequestFingerprint.parse(fingerprint.toString()).orElseThrow(), fingerprint);
    assertTrue(RequestFingerprint.parse("0000000000000001fffffffffffffffg").isEmpty());
    assertTrue(RequestFingerprint.parse("1").isEmpty());
  }
}
