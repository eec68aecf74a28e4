package org.lockdale.cli;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;

/** Measures processor time and allocation of the nodes' threads in this process, by thread name. */
final class NodeThreadMeter {

  /**
   * Totals of a group of threads since they started.
   *
   * @param processorNanos processor time in nanoseconds
   * @param allocatedBytes bytes allocated
   */
  record Usage(long processorNanos, long allocatedBytes) {

    Usage minus(Usage earlier) {
      return new Usage(
          processorNanos - earlier.processorNanos, allocatedBytes - earlier.allocatedBytes);
    }
  }

  private final com.sun.management.ThreadMXBean threads =
      (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();

  Usage read(String threadNamePrefix) {
    long nanos = 0;
    long bytes = 0;
    for (ThreadInfo thread : threads.getThreadInfo(threads.getAllThreadIds())) {
      if (thread != null && thread.getThreadName().startsWith(threadNamePrefix)) {
        nanos += threads.getThreadCpuTime(thread.getThreadId());
        bytes += threads.getThreadAllocatedBytes(thread.getThreadId());
      }
    }
    return new Usage(nanos, bytes);
  }
}
