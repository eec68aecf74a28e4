package org.lockdale.gateway.cache;

import java.util.List;
import org.lockdale.gateway.caller.PromptPart;

/**
 * Where the shared parts of one prompt are within one namespace. A part is of use only if all parts
 * before it are there too, so depths are counted from the first part.
 *
 * @param parts shared parts of the prompt, in order
 * @param keys their keys within the namespace
 * @param confirmedDepth parts that some holder has told it keeps
 * @param expectedDepth parts that some engine keeps or will hold soon
 */
public record PrefixSurvey(
    List<PromptPart> parts, List<Long> keys, int confirmedDepth, int expectedDepth) {

  /** Returns what an engine lacks that holds the parts up to a depth, or will hold them soon. */
  public PrefixNeed needFrom(int depth) {
    long fetchable = 0;
    long recomputed = 0;
    long unknown = 0;
    for (int index = depth; index < parts.size(); index++) {
      long tokens = parts.get(index).tokens();
      if (index < confirmedDepth) {
        fetchable += tokens;
      } else if (index < expectedDepth) {
        recomputed += tokens;
      } else {
        unknown += tokens;
      }
    }
    return new PrefixNeed(fetchable, recomputed, unknown);
  }
}
