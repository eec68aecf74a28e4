package org.lockdale.openai;

import java.util.Locale;

/** What is known about whether a request ran. */
public enum Outcome {
  /** It did not run and will not run. */
  NOT_RUN,
  /** It may have run, in whole or in part. */
  UNKNOWN,
  /** It ran, and its complete response was sent. */
  COMPLETE;

  /** Returns the name that is used in headers and bodies. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
