package org.lockdale.router.operator;

import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * A hypothetical request whose routing is to be explained.
 *
 * @param tenant tenant name
 * @param model model name as used by callers
 * @param metadata labels that the caller would set
 * @param prompt prompt text, or an empty string
 */
public record ExplainRequest(
    String tenant, String model, Map<String, String> metadata, String prompt) {

  /** Replaces absent parts by empty ones. */
  public ExplainRequest(
      @Nullable String tenant,
      @Nullable String model,
      @Nullable Map<String, String> metadata,
      @Nullable String prompt) {
    this.tenant = Objects.requireNonNullElse(tenant, "");
    this.model = Objects.requireNonNullElse(model, "");
    this.metadata = Map.copyOf(Objects.requireNonNullElse(metadata, Map.of()));
    this.prompt = Objects.requireNonNullElse(prompt, "");
  }
}
