package org.lockdale.gateway.flow;

/**
 * Limits of what a node holds for slow callers and backends.
 *
 * @param highMarkBytes queue of a caller above which its backend is no longer read, in bytes
 * @param lowMarkBytes queue of a caller below which its backend is read again, in bytes
 * @param boundBytes maximum number of bytes that the node holds, in bytes
 * @param unreadWaitMillis time of a pause after which the backend is read into the bound, in
 *     milliseconds
 */
public record FlowLimits(
    int highMarkBytes, int lowMarkBytes, long boundBytes, long unreadWaitMillis) {

  /**
   * Maximum queue of one caller, in bytes. Responses of models are far shorter; a longer one is
   * paused here until its caller reads on.
   */
  public static final long MAX_STREAM_BYTES = 1024 * 1024;

  /** Bound of a node whose memory is not known, in bytes. */
  private static final long DEFAULT_BOUND_BYTES = 16L * 1024 * 1024;

  private static final long BYTES_PER_MEGABYTE = 1024L * 1024;

  /** Validates the limits. */
  public FlowLimits {
    if (lowMarkBytes < 1 || highMarkBytes < lowMarkBytes || highMarkBytes > MAX_STREAM_BYTES) {
      throw new IllegalArgumentException(
          "flow.low-mark must not exceed flow.high-mark, nor that one "
              + MAX_STREAM_BYTES
              + " bytes; lower the one that does");
    }
    if (boundBytes < 1 || unreadWaitMillis < 1) {
      throw new IllegalArgumentException(
          "flow.held-share and flow.unread-wait must be above 0; raise the one that is not");
    }
  }

  /**
   * Returns the bound of a node.
   *
   * @param memoryMegabytes memory of the process in megabytes; 0 if unknown
   * @param share share of the memory that may be held
   */
  public static long boundOf(int memoryMegabytes, double share) {
    return memoryMegabytes == 0
        ? DEFAULT_BOUND_BYTES
        : Math.max(1, Math.round(memoryMegabytes * share * BYTES_PER_MEGABYTE));
  }
}
