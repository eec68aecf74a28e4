package org.lockdale.coordination.simulation;

/**
 * Counts what one simulated node sends, receives and computes, in total and in its worst second.
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

  /** Forgets all counts. */
  public void reset() {
    messages = 0;
    bytes = 0;
    processorNanos = 0;
    currentSecond = -1;
    bytesInSecond = 0;
    worstSecondBytes = 0;
  }

  /** Returns messages sent and received. */
  public long messages() {
    return messages;
  }

  /**
   * Returns bytes sent and received, headers of UDP and IP and the authentication code included.
   */
  public long bytes() {
    return bytes;
  }

  /** Returns the most bytes sent and received in one second. */
  public long worstSecondBytes() {
    return worstSecondBytes;
  }

  /** Returns processor time spent in the state machine and the codec. */
  public long processorNanos() {
    return processorNanos;
  }
}
