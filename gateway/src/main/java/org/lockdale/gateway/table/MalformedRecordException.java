package org.lockdale.gateway.table;

/** A row of the shared store that can't be read. */
public final class MalformedRecordException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates a failure.
   *
   * @param key key of the row
   * @param reason what is wrong
   */
  public MalformedRecordException(String key, String reason) {
    super("row '" + key + "': " + reason, null, false, false);
  }
}
