package org.lockdale.gateway.placement;

import java.util.List;
import net.openhft.hashing.LongHashFunction;
import org.lockdale.gateway.caller.PromptPart;

/**
 * What placement needs to know of a prompt.
 *
 * @param affinityKey hash of the deepest shared part
 * @param sharedTokens tokens of the parts that other prompts share
 * @param ownTokens tokens of the last part, which is the request's own
 */
public record PromptPlacement(long affinityKey, long sharedTokens, long ownTokens) {

  private static final long LONG_PROMPT_TOKENS = 4_000;
  private static final LongHashFunction HASH = LongHashFunction.xx3();

  /** Returns the placement of a prompt of one part or more. */
  public static PromptPlacement of(List<PromptPart> parts) {
    int last = parts.size() - 1;
    long shared = 0;
    for (PromptPart part : parts.subList(0, last)) {
      shared += part.tokens();
    }
    PromptPart deepest = parts.get(Math.max(0, last - 1));
    return new PromptPlacement(HASH.hashChars(deepest.id()), shared, parts.get(last).tokens());
  }

  /** Returns whether its computation would make running streams of the same engine pause. */
  public boolean isLong() {
    return tokens() >= LONG_PROMPT_TOKENS;
  }

  /** Returns all tokens of the prompt. */
  public long tokens() {
    return sharedTokens + ownTokens;
  }
}
