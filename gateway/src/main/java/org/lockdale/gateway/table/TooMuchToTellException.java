package org.lockdale.gateway.table;

/**
 * Another node no longer knows what changed after a version, and its whole copy is large; read the
 * changes from the store, or ask for the whole copy where that doesn't answer.
 */
public final class TooMuchToTellException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates a failure. */
  public TooMuchToTellException(String table) {
    super("the changes of table " + table + " are known to the store only", null, false, false);
  }
}
