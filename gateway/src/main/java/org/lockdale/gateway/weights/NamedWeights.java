package org.lockdale.gateway.weights;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

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
    return with(newest, notBeforeMillis, false);
  }

  /**
   * Returns these with the newest versions as read by a node that can't tell since when there is no
   * older one.
   *
   * @param newest newest version of each model
   * @param countsFromMillis monotonic time from which a version unknown so far is counted
   */
  public NamedWeights withEstimate(Map<String, Long> newest, long countsFromMillis) {
    return with(newest, countsFromMillis, true);
  }

  private NamedWeights with(Map<String, Long> newest, long notBeforeMillis, boolean estimated) {
    NamedWeights merged = this;
    for (Map.Entry<String, Long> entry : newest.entrySet()) {
      long version = entry.getValue();
      if (newest(entry.getKey()).orElse(Long.MIN_VALUE) < version) {
        NamedVersion named = new NamedVersion(version, notBeforeMillis, estimated);
        merged = merged.withWitnessed(entry.getKey(), List.of(named));
      }
    }
    return merged;
  }

  /** Returns these with versions of a model as other nodes witnessed them. */
  public NamedWeights withWitnessed(String model, List<NamedVersion> witnessed) {
    TreeMap<Long, NamedVersion> versions = new TreeMap<>();
    versionsOf(model).forEach(named -> versions.put(named.version(), named));
    witnessed.forEach(named -> versions.merge(named.version(), named, NamedVersion::orBetter));
    List<NamedVersion> ordered = List.copyOf(versions.values());
    int surplus = Math.max(0, ordered.size() - MAX_VERSIONS);
    Map<String, List<NamedVersion>> merged = new HashMap<>(byModel);
    merged.put(model, ordered.subList(surplus, ordered.size()));
    return new NamedWeights(Map.copyOf(merged));
  }

  /** Returns the models of which a version was named. */
  public Set<String> models() {
    return byModel.keySet();
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
