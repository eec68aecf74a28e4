package org.lockdale.cli;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;

/** Processor time and allocation of the threads of nodes in this process, by their names. */
final class NodeThreadMeter {

  /**
   * What threads used since they started.
   *
   * @param processorNanos processor time
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
