package org.lockdale.http;

/** Port through which the connections of a server count what they hold in memory. Thread-safe. */
@FunctionalInterface
public interface HeldMemory {

  /** Counts nothing and bounds nothing. */
  HeldMemory UNBOUNDED = connection -> Account.NONE;

  /**
   * Opens the account of a new connection.
   *
   * @param connection closes the connection at once and discards what is queued for it; may be
   *     called from any thread
   * @return the account, which the connection closes when it ends
   */
  Account open(Runnable connection);

  /** The bytes that one connection holds. All methods may be called from any thread. */
  interface Account {

    /** Counts nothing and refuses nothing. */
    Account NONE =
        new Account() {
          @Override
          public void setQueued(long bytes) {}

          @Override
          public boolean tryReserveRequest(long bytes) {
            return true;
          }

          @Override
          public boolean tryReserveResponse(long bytes) {
            return true;
          }

          @Override
          public void release(long bytes) {}

          @Override
          public void cutOff(long unreadMillis) {}

          @Override
          public boolean isCutOff() {
            return false;
          }

          @Override
          public void close() {}
        };

    /** Sets the number of bytes that are queued for the peer's socket. */
    void setQueued(long bytes);

    /** Reserves bytes for a part of a request; false if there is no room for them. */
    boolean tryReserveRequest(long bytes);

    /** Reserves bytes for a part of a buffered response; false if there is no room for them. */
    boolean tryReserveResponse(long bytes);

    /** Releases bytes that were reserved for a request or a buffered response. */
    void release(long bytes);

    /**
     * Closes the connection because its peer does not read.
     *
     * @param unreadMillis time for which the peer has read nothing, in milliseconds
     */
    void cutOff(long unreadMillis);

    /** Returns whether the connection was closed because its peer does not read. */
    boolean isCutOff();

    /** Releases everything that the connection holds; later calls count nothing. */
    void close();
  }
}
