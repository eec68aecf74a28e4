package org.lockdale.gateway.weights;

import java.util.ArrayList;
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
        merged = merged.plus(entry.getKey(), new NamedVersion(version, notBeforeMillis, estimated));
      }
    }
    return merged;
  }

  private NamedWeights plus(String model, NamedVersion named) {
    List<NamedVersion> versions = new ArrayList<>(versionsOf(model));
    versions.add(named);
    return replacing(model, versions);
  }

  private NamedWeights replacing(String model, List<NamedVersion> versions) {
    int surplus = Math.max(0, versions.size() - MAX_VERSIONS);
    Map<String, List<NamedVersion>> merged = new HashMap<>(byModel);
    merged.put(model, List.copyOf(versions.subList(surplus, versions.size())));
    return new NamedWeights(Map.copyOf(merged));
  }

  /**
   * Returns these with versions of a model as other nodes witnessed them. What this node witnessed
   * itself stands. An estimate stands for the versions before it as well, which this node may never
   * have seen, so it goes over to the newest version that the witnesses say nothing about.
   */
  public NamedWeights withWitnessed(String model, List<NamedVersion> witnessed) {
    TreeMap<Long, NamedVersion> versions = new TreeMap<>();
    witnessed.forEach(named -> versions.put(named.version(), named));
    for (NamedVersion own : versionsOf(model)) {
      if (own.estimated()) {
        long unknown = own.version();
        while (versions.containsKey(unknown) && !versions.get(unknown).estimated()) {
          unknown--;
        }
        versions.put(unknown, new NamedVersion(unknown, own.notBeforeMillis(), true));
      } else {
        versions.put(own.version(), own);
      }
    }
    return replacing(model, List.copyOf(versions.values()));
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
