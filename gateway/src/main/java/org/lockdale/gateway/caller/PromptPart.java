package org.lockdale.gateway.caller;

/**
 * A part of a prompt that other prompts may share.
 *
 * @param id id of the text, equal for equal texts
 * @param tokens length in tokens
 */
public record PromptPart(String id, int tokens) {}
