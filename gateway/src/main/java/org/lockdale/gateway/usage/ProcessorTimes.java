package org.lockdale.gateway.usage;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads how long the threads of a process have run. The system's files are read, since the JVM's
 * own beans for this are loaded in some 50 ms of a start and don't know the compiler's threads.
 */
public final class ProcessorTimes {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Path threads;

  private ProcessorTimes(Path threads) {
    this.threads = threads;
  }

  /** Returns the times of this process. */
  public static ProcessorTimes ofThisProcess() {
    return of(Path.of("/proc/self/task"));
  }

  /** Returns the times told by a folder with a folder for each thread. */
  static ProcessorTimes of(Path threads) {
    return new ProcessorTimes(threads);
  }

  /**
   * Returns milliseconds by the name of a thread without its number; empty where the system doesn't
   * tell them.
   */
  public Map<String, Long> millisByThread() {
    Map<String, Long> nanos = new TreeMap<>();
    try (DirectoryStream<Path> each = Files.newDirectoryStream(threads)) {
      for (Path thread : each) {
        add(thread, nanos);
      }
    } catch (IOException notTold) {
      return Map.of();
    }
    nanos.replaceAll((name, total) -> total / NANOS_PER_MILLI);
    return nanos;
  }

  /** A thread that has just ended has no files any more. */
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
