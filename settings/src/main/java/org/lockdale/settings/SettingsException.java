package org.lockdale.settings;

import java.util.List;

/** Settings with which nothing can be started. */
public final class SettingsException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates a failure that lists all problems. */
  public SettingsException(List<String> problems) {
    super(String.join(System.lineSeparator(), problems), null, false, false);
  }
}
