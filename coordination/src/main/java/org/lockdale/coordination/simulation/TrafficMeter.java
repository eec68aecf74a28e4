package org.lockdale.coordination.simulation;

/**
 * Counts the messages, bytes and processor time of a simulated node in total, and its bytes in the
 * second with the highest traffic.
 */
public final class TrafficMeter {

  private static final long MICROS_PER_SECOND = 1_000_000;

  private long messages;
  private long bytes;
  private long processorNanos;
  private long currentSecond = -1;
  private long bytesInSecond;
  private long worstSecondBytes;

  void count(long nowMicros, int messageBytes) {
    long second = nowMicros / MICROS_PER_SECOND;
    if (second != currentSecond) {
      currentSecond = second;
      bytesInSecond = 0;
    }
    messages++;
    bytes += messageBytes;
    bytesInSecond += messageBytes;
    worstSecondBytes = Math.max(worstSecondBytes, bytesInSecond);
  }

  void addProcessorNanos(long nanos) {
    processorNanos += nanos;
  }

  /** Resets all counts to zero. */
  public void reset() {
    messages = 0;
    bytes = 0;
    processorNanos = 0;
    currentSecond = -1;
    bytesInSecond = 0;
    worstSecondBytes = 0;
  }

  /** Returns the number of messages sent and received. */
  public long messages() {
    return messages;
  }

  /**
   * Returns the number of bytes sent and received, including the UDP and IP headers and the
   * authentication code.
   */
  public long bytes() {
    return bytes;
  }

  /** Returns the highest number of bytes sent and received in one second. */
  public long worstSecondBytes() {
    return worstSecondBytes;
  }

  /** Returns the time spent in the state machine and the codec, in nanoseconds. */
  public long processorNanos() {
    return processorNanos;
  }
}
