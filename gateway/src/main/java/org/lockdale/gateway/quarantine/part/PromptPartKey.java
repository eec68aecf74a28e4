package org.lockdale.gateway.quarantine.part;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.lockdale.gateway.caller.CallerRequest;
import org.lockdale.gateway.caller.PromptPart;

/**
 * Identifies a part of a prompt that other prompts may share. Callers choose the ids, so nothing
 * about a part is more than a claim.
 *
 * @param model requested model, or an empty text if there is none
 * @param id id of the part
 */
public record PromptPartKey(String model, String id) {

  /** Maximum number of parts of a prompt that are considered, since callers choose it. */
  private static final int MAX_PARTS = 16;

  /** Maximum length of a model or an id, in characters; keys of rows in the store are limited. */
  private static final int MAX_LENGTH = 64;

  /**
   * Returns the parts of the prompt of a request that other prompts may share, in order: all but
   * the last one, each once.
   */
  public static List<PromptPartKey> sharedPartsOf(CallerRequest request) {
    List<PromptPart> parts = request.promptParts();
    String model = Objects.requireNonNullElse(request.model(), "");
    Set<PromptPartKey> shared = new LinkedHashSet<>();
    for (PromptPart part : parts.subList(0, Math.max(0, parts.size() - 1))) {
      PromptPartKey key = new PromptPartKey(model, part.id());
      if (shared.size() < MAX_PARTS && key.isPlainText()) {
        shared.add(key);
      }
    }
    return List.copyOf(shared);
  }

  private boolean isPlainText() {
    return isPlainText(model) && isPlainText(id);
  }

  private static boolean isPlainText(String text) {
    return text.length() <= MAX_LENGTH && text.chars().allMatch(each -> each > ' ' && each <= '~');
  }

  /** Returns the model and the id, separated by a slash. */
  @Override
  public String toString() {
    return model + "/" + id;
  }

  /**
   * Written explicitly, because the generated method of a record is linked at run time, in each
   * process that calls it.
   */
  @Override
  public boolean equals(Object other) {
    return other instanceof PromptPartKey that && id.equals(that.id) && model.equals(that.model);
  }

  @Override
  public int hashCode() {
    return id.hashCode();
  }
}
