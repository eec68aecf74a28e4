package org.lockdale.gateway.configuration;

/** Unit of the limit of a tenant. */
public enum LimitUnit {
  /** Each request counts as one. */
  REQUESTS,
  /** Each request counts as the number of tokens of its prompt and of its longest response. */
  TOKENS
}
