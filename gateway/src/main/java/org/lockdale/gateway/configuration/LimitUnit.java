package org.lockdale.gateway.configuration;

/** What a tenant's limit counts. */
public enum LimitUnit {
  /** Each request counts one. */
  REQUESTS,
  /** Each request counts the tokens of its prompt and of its longest answer. */
  TOKENS
}
