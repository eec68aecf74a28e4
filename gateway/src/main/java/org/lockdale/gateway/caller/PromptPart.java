package org.lockdale.gateway.caller;

/**
 * A part of a prompt that other prompts may share.
 *
 * @param id identity of the part's text
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {}
