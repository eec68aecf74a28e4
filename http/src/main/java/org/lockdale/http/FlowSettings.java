package org.lockdale.http;

/**
 * Bounds of what a server holds for peers that read or send slowly.
 *
 * @param highMarkBytes queue of a connection above which {@link HttpExchange#isWritable} is false,
 *     in bytes
 * @param lowMarkBytes queue below which it is true again, in bytes
 * @param memory counts and bounds the bytes of all connections
 */
public record FlowSettings(int highMarkBytes, int lowMarkBytes, HeldMemory memory) {

  private static final int DEFAULT_HIGH_MARK_BYTES = 64 * 1024;
  private static final int DEFAULT_LOW_MARK_BYTES = 32 * 1024;

  /** Default marks without a bound of memory. */
  public static final FlowSettings UNBOUNDED =
      new FlowSettings(DEFAULT_HIGH_MARK_BYTES, DEFAULT_LOW_MARK_BYTES, HeldMemory.UNBOUNDED);

  /** Validates the marks. */
  public FlowSettings {
    if (lowMarkBytes < 1 || highMarkBytes < lowMarkBytes) {
      throw new IllegalArgumentException(
          "the low mark of "
              + lowMarkBytes
              + " bytes must be at least 1 and not above the high mark of "
              + highMarkBytes
              + "; raise the high mark or lower the low one");
    }
  }
}
