package org.lockdale.soak.judge;

import org.jspecify.annotations.Nullable;

/**
 * The parts of a request that must reach a server unchanged.
 *
 * @param method HTTP method
 * @param path path and query
 * @param body complete body
 * @param model requested model, or null for none
 * @param prefix parts of the prompt, or null for none
 * @param usage input and output tokens, or null for none
 */
public record RequestFacts(
    String method,
    String path,
    String body,
    @Nullable String model,
    @Nullable String prefix,
    @Nullable String usage) {

  /** Part of prompts that crashes each server that begins to answer a request with it. */
  public static final String CRASHING_PART = "bad0";

  /** Path of the request that is the same each time and crashes no server. */
  public static final String REPEATED_PATH = "/stream/repeated";

  /** Returns whether it is the request that is the same each time and crashes no server. */
  boolean isRepeated() {
    return path.equals(REPEATED_PATH);
  }

  /** Returns whether its prompt has the part that crashes servers. */
  public boolean hasCrashingPart() {
    String parts = prefix;
    return parts != null && parts.contains(CRASHING_PART + ":");
  }
}
