package org.lockdale.router.policy;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Kinds of configuration resources. */
public enum ResourceKind {
  /** A zone with its region and its latency to other zones. */
  ZONE("Zone"),
  /** A model with its target weights version. */
  MODEL("Model"),
  /** An adapter of a model. */
  ADAPTER("Adapter"),
  /** A tenant with its hashed API keys. */
  TENANT("Tenant"),
  /** A priority class of requests. */
  PRIORITY("Priority"),
  /** Limits of selected tenants. */
  LIMIT("Limit"),
  /** A rule that maps requests to engines. */
  ROUTE("Route"),
  /** Labels of one engine. */
  ENGINE("Engine");

  private final String wireName;

  ResourceKind(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name used in documents. */
  public String wireName() {
    return wireName;
  }

  /**
   * Returns the kind with a name, in singular or plural and ignoring case, or empty if there is
   * none.
   */
  public static Optional<ResourceKind> find(String name) {
    String lower = name.toLowerCase(Locale.ROOT);
    String singular = lower.endsWith("s") ? lower.substring(0, lower.length() - 1) : lower;
    return Arrays.stream(values())
        .filter(
            kind -> {
              String known = kind.wireName.toLowerCase(Locale.ROOT);
              return known.equals(lower)
                  || known.equals(singular)
                  || lower.equals("priorities") && kind == PRIORITY;
            })
        .findFirst();
  }
}
