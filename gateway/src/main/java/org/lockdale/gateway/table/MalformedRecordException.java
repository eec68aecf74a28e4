package org.lockdale.gateway.table;

/** Thrown for a row of the shared store that can't be parsed. */
public final class MalformedRecordException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param key key of the row
   * @param reason what is wrong with the row
   */
  public MalformedRecordException(String key, String reason) {
    super("row '" + key + "': " + reason, null, false, false);
  }
}
