package org.lockdale.router.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * An edit of the configuration.
 *
 * @param baseVersion version that the edit is based on
 * @param author author of the edit; null is read as {@code unknown}
 * @param resources resources to set
 * @param deletions resources to delete
 * @param dryRun whether to check the edit without applying it
 */
public record EditRequest(
    long baseVersion,
    String author,
    List<JsonNode> resources,
    List<ResourceName> deletions,
    boolean dryRun) {

  /** Identity of a resource. */
  public record ResourceName(String kind, String name) {}

  /** Replaces an absent author by {@code unknown} and absent lists by empty ones. */
  public EditRequest(
      long baseVersion,
      @Nullable String author,
      @Nullable List<JsonNode> resources,
      @Nullable List<ResourceName> deletions,
      boolean dryRun) {
    this.baseVersion = baseVersion;
    this.author = Objects.requireNonNullElse(author, "unknown");
    this.resources = List.copyOf(Objects.requireNonNullElse(resources, List.of()));
    this.deletions = List.copyOf(Objects.requireNonNullElse(deletions, List.of()));
    this.dryRun = dryRun;
  }
}
