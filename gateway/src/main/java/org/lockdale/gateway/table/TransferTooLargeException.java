package org.lockdale.gateway.table;

/**
 * Thrown if another node does not send the changes after a version because they are too large. The
 * changes should be read from the store, or the complete copy from the node if the store doesn't
 * respond.
 */
public final class TransferTooLargeException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception for a table. */
  public TransferTooLargeException(String table) {
    super(
        "the changes of table " + table + " are too large to send; read them from the store",
        null,
        false,
        false);
  }
}
