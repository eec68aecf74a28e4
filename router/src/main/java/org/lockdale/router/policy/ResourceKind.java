package org.lockdale.router.policy;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Kinds of configuration resources. */
public enum ResourceKind {
  /** A zone with its region and its distance to others. */
  ZONE("Zone"),
  /** A model with the weights version wanted. */
  MODEL("Model"),
  /** An adapter of a model. */
  ADAPTER("Adapter"),
  /** A tenant with its hashed API keys. */
  TENANT("Tenant"),
  /** A priority. */
  PRIORITY("Priority"),
  /** Limits of the tenants it selects. */
  LIMIT("Limit"),
  /** A rule from requests to engines. */
  ROUTE("Route"),
  /** Labels of one engine. */
  ENGINE("Engine");

  private final String wireName;

  ResourceKind(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name as it stands in documents. */
  public String wireName() {
    return wireName;
  }

  /** Returns the kind of a name, in any case of letters and with or without a plural s. */
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
