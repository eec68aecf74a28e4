package org.lockdale.gateway.placement;

import java.util.List;
import net.openhft.hashing.LongHashFunction;
import org.lockdale.gateway.caller.PromptPart;

/**
 * Properties of a prompt that its placement depends on.
 *
 * @param affinityKey hash of the deepest shared part, from which the home follows
 * @param sharedTokens tokens of the parts shared with other prompts
 * @param ownTokens tokens of the last part, which is unique to the request
 */
public record PromptPlacement(long affinityKey, long sharedTokens, long ownTokens) {

  private static final long LONG_PROMPT_TOKENS = 4_000;
  private static final LongHashFunction HASH = LongHashFunction.xx3();

  /** Returns the properties of a prompt with at least one part. */
  public static PromptPlacement of(List<PromptPart> parts) {
    int last = parts.size() - 1;
    long shared = 0;
    for (PromptPart part : parts.subList(0, last)) {
      shared += part.tokens();
    }
    PromptPart deepest = parts.get(Math.max(0, last - 1));
    return new PromptPlacement(HASH.hashChars(deepest.id()), shared, parts.get(last).tokens());
  }

  /** Returns whether computing the prompt would stall the running streams of the same engine. */
  public boolean isLong() {
    return tokens() >= LONG_PROMPT_TOKENS;
  }

  /** Returns the number of tokens of the complete prompt. */
  public long tokens() {
    return sharedTokens + ownTokens;
  }
}
