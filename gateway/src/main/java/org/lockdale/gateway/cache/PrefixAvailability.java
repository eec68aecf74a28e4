package org.lockdale.gateway.cache;

import java.util.List;
import org.lockdale.gateway.caller.PromptPart;

/**
 * Availability of the shared parts of one prompt within one namespace. A part is useful only
 * together with all parts before it, so availability is measured as a depth, counted from the first
 * part.
 *
 * @param parts shared parts of the prompt, in order
 * @param keys their keys within the namespace
 * @param confirmedDepth greatest number of leading parts that a holder has reported to keep
 * @param expectedDepth greatest number of leading parts that an engine keeps or will hold soon
 */
public record PrefixAvailability(
    List<PromptPart> parts, List<Long> keys, int confirmedDepth, int expectedDepth) {

  /**
   * Returns the parts that an engine lacks.
   *
   * @param depth number of leading parts that the engine holds or will hold soon
   */
  public MissingPrefix missingFrom(int depth) {
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
    return new MissingPrefix(fetchable, recomputed, unknown);
  }
}
