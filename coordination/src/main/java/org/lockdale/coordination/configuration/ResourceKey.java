package org.lockdale.coordination.configuration;

/**
 * Identity of a configuration resource.
 *
 * @param kind kind of resource, such as {@code Tenant}
 * @param name name, unique within the kind
 */
public record ResourceKey(String kind, String name) implements Comparable<ResourceKey> {

  @Override
  public int compareTo(ResourceKey other) {
    int byKind = kind.compareTo(other.kind);
    return byKind != 0 ? byKind : name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return kind + "/" + name;
  }
}
