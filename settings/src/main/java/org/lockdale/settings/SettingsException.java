package org.lockdale.settings;

import java.util.List;

/** Thrown if settings are invalid, so that the program can't start. */
public final class SettingsException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message lists all problems, one per line. */
  public SettingsException(List<String> problems) {
    super(String.join(System.lineSeparator(), problems), null, false, false);
  }
}
