package org.lockdale.soak.judge;

/**
 * A broken rule.
 *
 * @param rule name of the rule
 * @param request request, server or node concerned
 * @param reason what was seen
 */
public record RuleBreak(String rule, String request, String reason) {}
