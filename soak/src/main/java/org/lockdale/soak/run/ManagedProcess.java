package org.lockdale.soak.run;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.lockdale.soak.standin.StandardStreams;

/** A process that this run started; it ends with the run. Thread-safe. */
final class ManagedProcess implements Closeable {

  /**
   * A process that ends so soon after its start, or after it was paused, doesn't count as ending by
   * itself: before the JVM has its handlers, any signal ends it. The time is the users' rule.
   */
  private static final long EXCUSED_MILLIS = 1_000;

  /** The system ends a killed process at once; a busy one takes longer to hand back its memory. */
  private static final long KILLED_MILLIS = 5_000;

  private final String name;
  private final Process process;
  private final Writer input;
  private volatile boolean mayEnd;
  private volatile long disruptedMillis = StandardStreams.nowMillis();
  private volatile long endMillis = Long.MAX_VALUE;

  private ManagedProcess(String name, Process process, Consumer<String> output) {
    this.name = name;
    this.process = process;
    input = process.outputWriter(StandardCharsets.UTF_8);
    Thread reader = new Thread(() -> read(output), name + "-output");
    reader.setDaemon(true);
    reader.start();
    process.onExit().thenRun(() -> endMillis = StandardStreams.nowMillis());
  }

  /**
   * Starts a program.
   *
   * @param directory where it runs
   * @param log file that its standard error is added to
   * @param output gets each line of its standard output
   */
  static ManagedProcess start(
      String name, List<String> command, Path directory, Path log, Consumer<String> output)
      throws IOException {
    Process process =
        new ProcessBuilder(command)
            .directory(directory.toFile())
            .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    return new ManagedProcess(name, process, output);
  }

  private void read(Consumer<String> output) {
    try (BufferedReader lines = process.inputReader(StandardCharsets.UTF_8)) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        output.accept(line);
      }
    } catch (IOException | UncheckedIOException ended) {
      // A killed process may leave half a line; whole lines have been read by then.
    }
  }

  String name() {
    return name;
  }

  long id() {
    return process.pid();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Returns whether the process ended although nobody told it to, and without an excuse. */
  boolean endedByItself() {
    return hasEnded() && !mayEnd && endMillis - disruptedMillis > EXCUSED_MILLIS;
  }

  /** Returns the exit status of a process that has ended: over 128, it and a signal's number. */
  int exitStatus() {
    return process.exitValue();
  }

  /** Notes that the process ends by what it was sent. */
  void expectEnd() {
    mayEnd = true;
  }

  /** Returns whether the process has ended and when is known. */
  boolean hasEnded() {
    return endMillis != Long.MAX_VALUE;
  }

  synchronized void say(String line) throws IOException {
    input.write(line + "\n");
    input.flush();
  }

  /** Sends a signal, by its name without SIG. */
  void signal(String signal) throws IOException, InterruptedException {
    if (signal.equals("TERM") || signal.equals("KILL")) {
      mayEnd = true;
    }
    if (signal.equals("CONT")) {
      disruptedMillis = StandardStreams.nowMillis();
    }
    if (process.isAlive()) {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }
  }

  /** Waits for the end of the process and kills it if it takes longer. */
  void awaitEnd(long millis) throws InterruptedException {
    mayEnd = true;
    if (!process.waitFor(millis, TimeUnit.MILLISECONDS)) {
      process.destroyForcibly().waitFor();
    }
  }

  /** Waits until a process that was killed is gone, and its ports are free. */
  void awaitKilled() {
    try {
      process.waitFor(KILLED_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  /** Kills the process, paused or not. */
  @Override
  public void close() {
    mayEnd = true;
    process.destroyForcibly();
  }
}
