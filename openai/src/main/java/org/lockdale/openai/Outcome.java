package org.lockdale.openai;

import java.util.Locale;

/** What is known of whether a request ran. */
public enum Outcome {
  /** It did not run and will not run. */
  NOT_RUN,
  /** It may have run, in whole or in part. */
  UNKNOWN,
  /** It ran and its whole answer was sent. */
  COMPLETE;

  /** Returns the name as it stands in headers and bodies. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
