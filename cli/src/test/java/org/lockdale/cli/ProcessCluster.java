package org.lockdale.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** A deployment of separate processes, started and stopped by a test. */
final class ProcessCluster implements AutoCloseable {

  private static final long TIMEOUT_SECONDS = 60;

  private final Map<String, Process> processes = new LinkedHashMap<>();
  private final Map<String, Map<String, String>> addresses = new LinkedHashMap<>();
  private final Map<String, Path> logs = new LinkedHashMap<>();
  private final HttpClient client = HttpClient.newHttpClient();

  /**
   * Starts a process and waits for the line {@code ready} with its addresses.
   *
   * @throws IOException if the process prints something else first
   */
  void start(String name, String... arguments) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.add("-Xmx192m");
    command.add("-XX:+UseSerialGC");
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add("org.lockdale.cli.Lockdale");
    command.addAll(Arrays.asList(arguments));
    Process process = new ProcessBuilder(command).redirectError(logOf(name).toFile()).start();
    processes.put(name, process);
    BufferedReader output =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    String ready = output.readLine();
    if (ready == null || !ready.startsWith("ready ")) {
      throw new IOException(name + " did not start: " + ready);
    }
    Map<String, String> readyFields = new LinkedHashMap<>();
    for (String field : ready.substring("ready ".length()).split(" ")) {
      readyFields.put(
          field.substring(0, field.indexOf('=')), field.substring(field.indexOf('=') + 1));
    }
    addresses.put(name, readyFields);
  }

  /** Returns the log file of a process, which is created at its first start and then reused. */
  private Path logOf(String name) throws IOException {
    Path existing = logs.get(name);
    if (existing != null) {
      return existing;
    }
    Path created = Files.createTempFile("lockdale-" + name, ".log");
    logs.put(name, created);
    return created;
  }

  String log(String name) throws IOException {
    return Files.readString(logs.get(name));
  }

  String address(String process, String port) {
    return addresses.get(process).get(port);
  }

  Process process(String name) {
    return processes.get(name);
  }

  void kill(String name) throws InterruptedException {
    processes.get(name).destroyForcibly().waitFor();
  }

  /** Runs an operator's command in this JVM and returns its exit status. */
  int lockdale(String... arguments) {
    return Lockdale.commandLine().execute(arguments);
  }

  HttpResponse<String> complete(String node, String apiKey, String body, String... headers)
      throws IOException, InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(
                URI.create("http://" + address(node, "callers") + "/v1/chat/completions"))
            .header("content-type", "application/json")
            .header("authorization", "Bearer " + apiKey)
            .POST(HttpRequest.BodyPublishers.ofString(body));
    for (int index = 0; index < headers.length; index += 2) {
      request.header(headers[index], headers[index + 1]);
    }
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  /**
   * Polls a condition until it holds; the timeout only limits how long a failing test takes.
   *
   * @throws AssertionError if the condition does not hold within 60 s
   */
  static void await(String what, BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("not within " + TIMEOUT_SECONDS + " s: " + what);
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  /** Waits until no engine of a deployment in this process runs an attempt. */
  static void awaitIdle(LocalCluster cluster) {
    try {
      await(
          "all engines are idle",
          () -> cluster.engines().stream().allMatch(engine -> engine.activeAttempts() == 0));
    } catch (InterruptedException interrupted) {
      throw new AssertionError(interrupted);
    }
  }

  @Override
  public void close() {
    processes.values().forEach(Process::destroyForcibly);
    logs.values().forEach(log -> log.toFile().delete());
  }
}
