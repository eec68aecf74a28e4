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

/** A process that this run started and kills when it is closed. Thread-safe. */
final class ManagedProcess implements Closeable {

  /**
   * An exit within this time of the start, or of the end of a pause, does not count as unexpected:
   * any signal ends a JVM that has not yet installed its handlers. The users set this time.
   */
  private static final long SIGNAL_EXCUSE_MILLIS = 1_000;

  /** SIGKILL takes effect at once, but a busy system takes longer to release the memory. */
  private static final long KILL_TIMEOUT_MILLIS = 5_000;

  private final String name;
  private final Process process;
  private final Writer input;
  private volatile boolean exitExpected;
  private volatile long disruptedMillis = StandardStreams.nowMillis();
  private volatile long exitMillis = Long.MAX_VALUE;

  private ManagedProcess(String name, Process process, Consumer<String> output) {
    this.name = name;
    this.process = process;
    input = process.outputWriter(StandardCharsets.UTF_8);
    Thread reader = new Thread(() -> read(output), name + "-output");
    reader.setDaemon(true);
    reader.start();
    process.onExit().thenRun(() -> exitMillis = StandardStreams.nowMillis());
  }

  /**
   * Starts a program.
   *
   * @param directory working directory of the process
   * @param log file to which its standard error is appended
   * @param output receives each line of its standard output
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
      // A killed process may leave an incomplete line; all complete lines were read before.
    }
  }

  String name() {
    return name;
  }

  long pid() {
    return process.pid();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /**
   * Returns whether the process exited unexpectedly, and later than {@link #SIGNAL_EXCUSE_MILLIS}
   * after its start and the end of its last pause.
   */
  boolean exitedUnexpectedly() {
    return hasExited() && !exitExpected && exitMillis - disruptedMillis > SIGNAL_EXCUSE_MILLIS;
  }

  /** Returns the exit status; a value over 128 is 128 plus the number of the fatal signal. */
  int exitStatus() {
    return process.exitValue();
  }

  /** Declares that the process will exit because of a request that it was sent. */
  void expectExit() {
    exitExpected = true;
  }

  /** Returns whether the process has exited and the time of its exit is known. */
  boolean hasExited() {
    return exitMillis != Long.MAX_VALUE;
  }

  synchronized void send(String line) throws IOException {
    input.write(line + "\n");
    input.flush();
  }

  /** Sends a signal, given by its name without {@code SIG}, unless the process has exited. */
  void signal(String signal) throws IOException, InterruptedException {
    if (signal.equals("TERM") || signal.equals("KILL")) {
      exitExpected = true;
    }
    if (signal.equals("CONT")) {
      disruptedMillis = StandardStreams.nowMillis();
    }
    if (process.isAlive()) {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }
  }

  /** Waits for the exit of the process and kills it if it takes longer than {@code millis}. */
  void awaitExitOrKill(long millis) throws InterruptedException {
    exitExpected = true;
    if (!process.waitFor(millis, TimeUnit.MILLISECONDS)) {
      process.destroyForcibly().waitFor();
    }
  }

  /** Waits until a killed process is gone and its ports are free, for a limited time. */
  void awaitExitAfterKill() {
    try {
      process.waitFor(KILL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  /** Kills the process, even if it is paused. */
  @Override
  public void close() {
    exitExpected = true;
    process.destroyForcibly();
  }
}
