package org.lockdale.soak.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.lockdale.soak.judge.Note;
import org.lockdale.soak.plan.Fault;

/**
 * The lines that a stand-in and the driver, the process that starts all others, exchange. Each is a
 * word followed by its content. Notes about the handling of requests, except {@link Note.RestTold},
 * are written before the action that they describe, so that no action goes unrecorded if the
 * process is killed.
 */
public final class StandardStreams {

  /** Prefix of a line with a note. */
  public static final String NOTE = "note ";

  /** Prefix of a line with a server's row for the store. */
  public static final String ROW = "row ";

  /** Prefix of a line with the number of a command and the time at which it was done. */
  public static final String DONE = "done ";

  /** Reads and writes all JSON of the soak. */
  public static final ObjectMapper MAPPER = mapper();

  private StandardStreams() {}

  private static ObjectMapper mapper() {
    ObjectMapper mapper = new ObjectMapper();
    mapper.registerSubtypes(Note.class.getPermittedSubclasses());
    mapper.registerSubtypes(Fault.class.getPermittedSubclasses());
    return mapper;
  }

  /** Returns the time of the monotonic clock that all processes of the machine share. */
  public static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Returns a value as a line of JSON. */
  public static String json(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }

  /**
   * Parses JSON.
   *
   * @throws UncheckedIOException if the text doesn't match the type
   */
  public static <T> T parse(String text, Class<T> type) {
    try {
      return MAPPER.readValue(text, type);
    } catch (JsonProcessingException malformed) {
      throw new UncheckedIOException(malformed);
    }
  }

  static void writeNote(Note note) {
    writeLine(NOTE + json(note));
  }

  static synchronized void writeLine(String line) {
    System.out.println(line);
  }

  /** Runs the driver's commands until it closes the standard input, then ends this process. */
  static void runCommands(Consumer<String> command) throws IOException {
    BufferedReader commands =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    for (String line = commands.readLine(); line != null; line = commands.readLine()) {
      command.accept(line);
    }
    NodeReaper.killNodes();
    Runtime.getRuntime().halt(0);
  }
}
