package org.lockdale.soak.judge;

import org.jspecify.annotations.Nullable;

/**
 * What of a request must reach a server unchanged.
 *
 * @param method HTTP method
 * @param path path with its query
 * @param body whole body
 * @param model model asked for, or null for none
 * @param prefix parts of the prompt, or null for none
 * @param usage tokens in and out, or null for none
 */
public record RequestFacts(
    String method,
    String path,
    String body,
    @Nullable String model,
    @Nullable String prefix,
    @Nullable String usage) {}
