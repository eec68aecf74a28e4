package org.lockdale.gateway.weights;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

/** Target versions of the weights of each model, as set by operators, oldest first. Immutable. */
public final class TargetWeights {

  /** No target versions. */
  public static final TargetWeights NONE = new TargetWeights(Map.of());

  /** Maximum number of versions kept for a model. Older ones have long been due. */
  private static final int MAX_VERSIONS = 16;

  private final Map<String, List<TargetVersion>> byModel;

  private TargetWeights(Map<String, List<TargetVersion>> byModel) {
    this.byModel = byModel;
  }

  /**
   * Returns these versions together with the newest ones as read from the store.
   *
   * @param newest newest version of each model
   * @param notBeforeMillis monotonic time in milliseconds before which a version unknown so far
   *     can't have been set
   */
  public TargetWeights with(Map<String, Long> newest, long notBeforeMillis) {
    return with(newest, notBeforeMillis, false);
  }

  /**
   * Returns these versions together with the newest ones as read from the store by a node that
   * can't determine since when the version has been the newest.
   *
   * @param newest newest version of each model
   * @param countsFromMillis monotonic time in milliseconds from which the age of a version unknown
   *     so far is measured
   */
  public TargetWeights withEstimate(Map<String, Long> newest, long countsFromMillis) {
    return with(newest, countsFromMillis, true);
  }

  private TargetWeights with(Map<String, Long> newest, long notBeforeMillis, boolean estimated) {
    TargetWeights merged = this;
    for (Map.Entry<String, Long> entry : newest.entrySet()) {
      long version = entry.getValue();
      if (newest(entry.getKey()).orElse(Long.MIN_VALUE) < version) {
        merged =
            merged.plus(entry.getKey(), new TargetVersion(version, notBeforeMillis, estimated));
      }
    }
    return merged;
  }

  private TargetWeights plus(String model, TargetVersion target) {
    List<TargetVersion> versions = new ArrayList<>(versionsOf(model));
    versions.add(target);
    return replacing(model, versions);
  }

  private TargetWeights replacing(String model, List<TargetVersion> versions) {
    int excess = Math.max(0, versions.size() - MAX_VERSIONS);
    Map<String, List<TargetVersion>> merged = new HashMap<>(byModel);
    merged.put(model, List.copyOf(versions.subList(excess, versions.size())));
    return new TargetWeights(Map.copyOf(merged));
  }

  /**
   * Returns these versions together with versions of a model as observed by other nodes.
   * Observations of this node take precedence. An estimate also stands for earlier versions, which
   * this node may never have seen, so it is moved to the newest version that the other nodes have
   * not observed.
   *
   * @param model name of the model
   * @param observed versions observed by other nodes
   */
  public TargetWeights withObserved(String model, List<TargetVersion> observed) {
    TreeMap<Long, TargetVersion> versions = new TreeMap<>();
    observed.forEach(target -> versions.put(target.version(), target));
    for (TargetVersion known : versionsOf(model)) {
      if (known.estimated()) {
        long unobserved = known.version();
        while (versions.containsKey(unobserved) && !versions.get(unobserved).estimated()) {
          unobserved--;
        }
        versions.put(unobserved, new TargetVersion(unobserved, known.notBeforeMillis(), true));
      } else {
        versions.put(known.version(), known);
      }
    }
    return replacing(model, List.copyOf(versions.values()));
  }

  /** Returns the models that have a target version. */
  public Set<String> models() {
    return byModel.keySet();
  }

  /** Returns all versions of a model, oldest first; empty where there are none. */
  public List<TargetVersion> versionsOf(String model) {
    return byModel.getOrDefault(model, List.of());
  }

  /** Returns the newest version of a model, or empty where there is none. */
  public OptionalLong newest(String model) {
    List<TargetVersion> versions = versionsOf(model);
    return versions.isEmpty()
        ? OptionalLong.empty()
        : OptionalLong.of(versions.get(versions.size() - 1).version());
  }

  /**
   * Returns the newest version of a model that may have been set at least a given time ago, or
   * empty where there is none.
   *
   * @param model name of the model
   * @param ageMillis least age in milliseconds
   * @param nowMillis monotonic time in milliseconds
   */
  public OptionalLong newestOfMinAge(String model, long ageMillis, long nowMillis) {
    return versionsOf(model).stream()
        .filter(target -> nowMillis - target.notBeforeMillis() >= ageMillis)
        .mapToLong(TargetVersion::version)
        .max();
  }
}
