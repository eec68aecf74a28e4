package org.lockdale.router.policy;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * A label selector in the format of Kubernetes: all equality and set-based requirements must hold.
 * An empty selector matches everything.
 *
 * @param matchLabels labels that must have these values
 * @param matchExpressions further requirements
 */
public record Selector(
    @JsonProperty("matchLabels") Map<String, String> matchLabels,
    @JsonProperty("matchExpressions") List<Requirement> matchExpressions) {

  /** Matches everything. */
  public static final Selector EVERYTHING = new Selector(Map.of(), List.of());

  /** Replaces null by an empty map or list. */
  public Selector(
      @Nullable Map<String, String> matchLabels, @Nullable List<Requirement> matchExpressions) {
    this.matchLabels = Map.copyOf(Objects.requireNonNullElse(matchLabels, Map.of()));
    this.matchExpressions = List.copyOf(Objects.requireNonNullElse(matchExpressions, List.of()));
  }

  /** Conditions on a label. */
  public enum Operator {
    /** The label has one of the values. */
    @JsonProperty("In")
    IN,
    /** The label is absent or has none of the values. */
    @JsonProperty("NotIn")
    NOT_IN,
    /** The label is present. */
    @JsonProperty("Exists")
    EXISTS,
    /** The label is absent. */
    @JsonProperty("DoesNotExist")
    DOES_NOT_EXIST
  }

  /**
   * One set-based requirement.
   *
   * @param key label
   * @param operator condition
   * @param values values to compare with
   */
  public record Requirement(String key, Operator operator, List<String> values) {

    /** Replaces null values by an empty list. */
    public Requirement(String key, Operator operator, @Nullable List<String> values) {
      this.key = key;
      this.operator = operator;
      this.values = List.copyOf(Objects.requireNonNullElse(values, List.of()));
    }

    boolean matches(Map<String, String> labels) {
      String value = labels.get(key);
      return switch (operator) {
        case IN -> value != null && values.contains(value);
        case NOT_IN -> value == null || !values.contains(value);
        case EXISTS -> value != null;
        case DOES_NOT_EXIST -> value == null;
      };
    }
  }

  /** Returns whether a set of labels meets all requirements. */
  public boolean matches(Map<String, String> labels) {
    for (Map.Entry<String, String> wanted : matchLabels.entrySet()) {
      if (!wanted.getValue().equals(labels.get(wanted.getKey()))) {
        return false;
      }
    }
    for (Requirement requirement : matchExpressions) {
      if (!requirement.matches(labels)) {
        return false;
      }
    }
    return true;
  }
}
