package org.lockdale.soak.judge;

/**
 * A rule violation.
 *
 * @param rule name of the rule
 * @param request id of the request, server, node or service concerned
 * @param reason what was observed
 */
public record RuleBreak(String rule, String request, String reason) {}
