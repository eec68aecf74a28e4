package org.lockdale.gateway.weights;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** The versions of weights that operators have named, newest last, for each model. Immutable. */
public final class NamedWeights {

  /** No versions. */
  public static final NamedWeights NONE = new NamedWeights(Map.of());

  /** Versions that are remembered for a model; older ones have long been due. */
  private static final int MAX_VERSIONS = 16;

  private final Map<String, List<NamedVersion>> byModel;

  private NamedWeights(Map<String, List<NamedVersion>> byModel) {
    this.byModel = byModel;
  }

  /**
   * Returns these with the newest versions as read.
   *
   * @param newest newest version of each model
   * @param notBeforeMillis monotonic time before which a version unknown so far can't have been
   *     named
   */
  public NamedWeights with(Map<String, Long> newest, long notBeforeMillis) {
    Map<String, List<NamedVersion>> merged = new HashMap<>(byModel);
    newest.forEach(
        (model, version) -> {
          List<NamedVersion> versions = new ArrayList<>(byModel.getOrDefault(model, List.of()));
          boolean known =
              !versions.isEmpty() && versions.get(versions.size() - 1).version() >= version;
          if (!known) {
            versions.add(new NamedVersion(version, notBeforeMillis));
            int surplus = Math.max(0, versions.size() - MAX_VERSIONS);
            merged.put(model, List.copyOf(versions.subList(surplus, versions.size())));
          }
        });
    return new NamedWeights(Map.copyOf(merged));
  }

  /** Returns all versions of a model, newest last. */
  public List<NamedVersion> versionsOf(String model) {
    return byModel.getOrDefault(model, List.of());
  }

  /** Returns the newest version of a model. */
  public OptionalLong newest(String model) {
    List<NamedVersion> versions = versionsOf(model);
    return versions.isEmpty()
        ? OptionalLong.empty()
        : OptionalLong.of(versions.get(versions.size() - 1).version());
  }

  /** Returns the newest version of a model that may have been named for an age or longer. */
  public OptionalLong newestOfAge(String model, long ageMillis, long nowMillis) {
    return versionsOf(model).stream()
        .filter(named -> nowMillis - named.notBeforeMillis() >= ageMillis)
        .mapToLong(NamedVersion::version)
        .max();
  }
}
