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
 * What a stand-in and the driver say to each other: lines of a word and its content. A note is
 * written before that what it tells is done, so that nothing is done unseen when the process is
 * killed.
 */
public final class StandardStreams {

  /** Begins a line with a note. */
  public static final String NOTE = "note ";

  /** Begins a line with a server's row for the store. */
  public static final String ROW = "row ";

  /** Begins a line that says when a command was done. */
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

  /** Returns the time of the clock that all processes share. */
  public static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Returns a value as JSON in one line. */
  public static String json(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }

  /** Reads JSON. */
  public static <T> T parse(String text, Class<T> type) {
    try {
      return MAPPER.readValue(text, type);
    } catch (JsonProcessingException malformed) {
      throw new UncheckedIOException(malformed);
    }
  }

  static void note(Note note) {
    say(NOTE + json(note));
  }

  static synchronized void say(String line) {
    System.out.println(line);
  }

  /** Runs commands until the driver has gone, and ends the process then. */
  static void obey(Consumer<String> command) throws IOException {
    BufferedReader commands =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    for (String line = commands.readLine(); line != null; line = commands.readLine()) {
      command.accept(line);
    }
    Guard.endNodes();
    Runtime.getRuntime().halt(0);
  }
}
