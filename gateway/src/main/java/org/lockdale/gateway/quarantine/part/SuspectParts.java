package org.lockdale.gateway.quarantine.part;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lockdale.gateway.caller.CallerRequest;

/**
 * The prompt parts that are suspected of crashing backends, and those that are held back, as the
 * request path reads them. Immutable but for the permits of trials.
 */
public final class SuspectParts {

  /** No suspects. */
  public static final SuspectParts NONE = new SuspectParts(Set.of(), Set.of(), List.of());

  private final Set<PromptPartKey> suspected;

  /** The suspected parts that the next crash may hold back, and those that are held back. */
  private final Set<PromptPartKey> significant;

  private final Map<PromptPartKey, HeldPart> held = new HashMap<>();

  SuspectParts(
      Set<PromptPartKey> suspected, Set<PromptPartKey> significant, Collection<HeldPart> held) {
    this.suspected = Set.copyOf(suspected);
    this.significant = Set.copyOf(significant);
    held.forEach(part -> this.held.put(part.part(), part));
  }

  /** Returns the parts of a request that are held back for its caller. */
  List<HeldPart> heldPartsOf(CallerRequest request, String caller) {
    if (held.isEmpty()) {
      return List.of();
    }
    return PromptPartKey.sharedPartsOf(request).stream()
        .filter(held::containsKey)
        .map(held::get)
        .filter(part -> part.appliesTo(caller))
        .toList();
  }

  /**
   * Returns the permit with which a request may be sent as a trial. A trial must speak of one part
   * only, so a request with several significant parts has none.
   */
  Optional<TrialPermit> permitOf(CallerRequest request) {
    List<PromptPartKey> parts =
        PromptPartKey.sharedPartsOf(request).stream().filter(significant::contains).toList();
    return parts.size() == 1
        ? Optional.ofNullable(held.get(parts.get(0))).map(HeldPart::permit)
        : Optional.empty();
  }

  /** Returns the parts of a request that are suspected. */
  Set<PromptPartKey> suspectedPartsOf(CallerRequest request) {
    if (suspected.isEmpty()) {
      return Set.of();
    }
    Set<PromptPartKey> found = new HashSet<>(PromptPartKey.sharedPartsOf(request));
    found.retainAll(suspected);
    return found;
  }

  /** Returns the number of parts that are suspected. */
  int suspectedCount() {
    return suspected.size();
  }

  /** Returns whether a part is suspected. */
  boolean isSuspected(PromptPartKey part) {
    return suspected.contains(part);
  }

  /** Returns the parts that are held back. */
  public Collection<HeldPart> held() {
    return List.copyOf(held.values());
  }
}
