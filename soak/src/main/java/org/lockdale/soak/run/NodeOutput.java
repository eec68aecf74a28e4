package org.lockdale.soak.run;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.LocalTime;
import java.time.format.DateTimeParseException;
import java.time.temporal.ChronoField;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.lockdale.soak.judge.Note;
import org.lockdale.soak.standin.StandardStreams;

/** The log of one node: kept in a file, and what the judge asks of it noted. */
final class NodeOutput implements Consumer<String> {

  private static final Pattern LIVES =
      Pattern.compile(
          "(\\S+) .*event=backend-lives backend=(\\S+) evidence=\\S+ seen-ms-ago=(\\d+)");

  private static final long DAY_MILLIS = 86_400_000;

  private final String node;
  private final Path file;
  private final NoteLog notes;

  NodeOutput(String node, Path file, NoteLog notes) {
    this.node = node;
    this.file = file;
    this.notes = notes;
  }

  @Override
  public void accept(String line) {
    try {
      Files.writeString(file, line + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    } catch (IOException full) {
      throw new UncheckedIOException(full);
    }
    Matcher lives = LIVES.matcher(line);
    if (lives.matches()) {
      long writtenMillis = StandardStreams.nowMillis() - ageMillis(lives.group(1));
      long livedMillis = writtenMillis - Long.parseLong(lives.group(3));
      notes.add(new Note.SaidToLive(livedMillis, node, lives.group(2)));
    }
  }

  /** Returns how long ago a line was written; a node that was stopped hands it over late. */
  private static long ageMillis(String timeOfDay) {
    try {
      long written = LocalTime.parse(timeOfDay).getLong(ChronoField.MILLI_OF_DAY);
      long age = LocalTime.now().getLong(ChronoField.MILLI_OF_DAY) - written;
      return Math.floorMod(age, DAY_MILLIS);
    } catch (DateTimeParseException half) {
      return 0;
    }
  }
}
