package org.lockdale.soak.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Checks that second replies differ from the first ones in the way that their kind says. */
public final class SecondRepliesTest {

  private final SecondReplies replies = new SecondReplies("server");

  private String toRequest(SecondReplyKind kind, int firstStatus) {
    return replies.toRequest(kind, "r#2", firstStatus, "run", "body").text();
  }

  @Test
  public void repliesAreRepeatedOnlyWhileConfigured() {
    assertNull(replies.draw());
    replies.configure("WITHOUT_LENGTH 1.0 200");
    assertEquals(replies.draw(), SecondReplyKind.WITHOUT_LENGTH);
    replies.configure("");
    assertNull(replies.draw());
  }

  @Test
  public void theStatusDiffersAndTheIdIsTheSame() {
    for (SecondReplyKind kind : SecondReplyKind.values()) {
      assertTrue(toRequest(kind, 500).contains("HTTP/1.1 200 "), kind.name());
      assertFalse(toRequest(kind, 200).contains("HTTP/1.1 200 "), kind.name());
      assertTrue(toRequest(kind, 200).contains("Lockdale-Request-Id: r\r\n"), kind.name());
      assertTrue(toRequest(kind, 200).contains("Soak-Second-Reply: run\r\n"), kind.name());
    }
  }

  @Test
  public void onlyARefusalIsMarkedAsNotExecuted() {
    for (SecondReplyKind kind : SecondReplyKind.values()) {
      boolean refusal = kind == SecondReplyKind.REFUSAL_AFTER_SUCCESS;
      String text = toRequest(kind, 200);
      assertEquals(text.contains("Lockdale-Not-Executed: 1"), refusal, kind.name());
      assertEquals(text.contains("Lockdale-Response-Signature: run"), !refusal, kind.name());
    }
  }

  @Test
  public void aReplyMayLackItsLengthOrFollowAnInformationalHead() {
    assertFalse(toRequest(SecondReplyKind.WITHOUT_LENGTH, 200).contains("Content-Length"));
    String informational = toRequest(SecondReplyKind.INFORMATIONAL_HEAD, 200);
    assertTrue(informational.startsWith("HTTP/1.1 102 "), informational);
    assertTrue(informational.contains("\r\n\r\nHTTP/1.1 500 "), informational);
  }

  @Test
  public void repliesToCallsHaveNoId() {
    for (SecondReplyKind kind : SecondReplyKind.values()) {
      String text = replies.toCall(kind, "/report", "{}").text();
      assertFalse(text.contains("Lockdale-Request-Id"), kind.name());
    }
  }
}
