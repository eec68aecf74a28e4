package org.lockdale.gateway.usage;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads the processor times of the threads of a process from the files of the operating system. The
 * JVM's management beans are not used, as loading them takes some 50 ms at startup and they do not
 * include the compiler threads.
 */
public final class ProcessorTimes {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Path threads;

  private ProcessorTimes(Path threads) {
    this.threads = threads;
  }

  /** Returns the reader for this process. */
  public static ProcessorTimes ofThisProcess() {
    return of(Path.of("/proc/self/task"));
  }

  /** Returns a reader of a directory with a subdirectory for each thread. */
  static ProcessorTimes of(Path threads) {
    return new ProcessorTimes(threads);
  }

  /**
   * Returns the processor time in milliseconds by thread name without the number; empty if the
   * system does not provide it.
   */
  public Map<String, Long> millisByThread() {
    Map<String, Long> nanos = new TreeMap<>();
    try (DirectoryStream<Path> directories = Files.newDirectoryStream(threads)) {
      for (Path thread : directories) {
        add(thread, nanos);
      }
    } catch (IOException unavailable) {
      return Map.of();
    }
    nanos.replaceAll((name, total) -> total / NANOS_PER_MILLI);
    return nanos;
  }

  /**
   * Adds the time of a thread. Skips a thread that has just ended, as its files no longer exist.
   */
  private static void add(Path thread, Map<String, Long> nanos) {
    try {
      String name = Files.readString(thread.resolve("comm")).trim();
      String[] times = Files.readString(thread.resolve("schedstat")).trim().split(" ");
      nanos.merge(kindOf(name), Long.parseLong(times[0]), Long::sum);
    } catch (IOException | NumberFormatException ended) {
      // Nothing to count.
    }
  }

  private static String kindOf(String name) {
    String kind = name.replaceAll("[-#0-9]+$", "").replaceAll("[^A-Za-z0-9]+", "-");
    return kind.isEmpty() ? "unnamed" : kind;
  }
}
