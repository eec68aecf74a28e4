package org.lockdale.gateway.quarantine.part;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.lockdale.gateway.caller.CallerRequest;
import org.lockdale.gateway.caller.PromptPart;
import org.testng.annotations.Test;

/** Tests which parts of a prompt may be held back. */
public final class PromptPartKeyTest {

  private static List<String> sharedPartsOf(String... ids) {
    List<PromptPart> parts = Arrays.stream(ids).map(id -> new PromptPart(id, 1)).toList();
    CallerRequest request =
        new CallerRequest(
            "r",
            "POST",
            "/a",
            "/a",
            "shop.example",
            null,
            1_000,
            null,
            parts,
            null,
            null,
            null,
            new DefaultHttpHeaders(),
            new byte[0]);
    return PromptPartKey.sharedPartsOf(request).stream().map(PromptPartKey::id).toList();
  }

  @Test
  public void theLastPartIsNeverACause() {
    assertEquals(sharedPartsOf(), List.of());
    assertEquals(sharedPartsOf("own"), List.of());
    assertEquals(sharedPartsOf("a", "b", "own"), List.of("a", "b"));
  }

  @Test
  public void aPartThatIsNamedTwiceCountsOnce() {
    assertEquals(sharedPartsOf("a", "a", "b", "a", "own"), List.of("a", "b"));
  }

  @Test
  public void listsWithoutEndAndIdsThatCannotBeStoredAreCutOff() {
    String[] many =
        IntStream.range(0, 1_000).mapToObj(number -> "p" + number).toArray(String[]::new);
    assertEquals(sharedPartsOf(many).size(), 16);
    assertEquals(sharedPartsOf("a", "x".repeat(65), "b\u00e4", "c d", "own"), List.of("a"));
  }
}
