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

/**
 * Writes the log of one node to a file and records the lines about live backends, forwarded
 * requests and orders as notes.
 */
final class NodeOutput implements Consumer<String> {

  private static final Pattern BACKEND_LIVES =
      Pattern.compile(
          "(\\S+) .*event=backend-lives backend=(\\S+) evidence=\\S+ seen-ms-ago=(\\d+)");

  private static final Pattern REQUEST_FORWARDED =
      Pattern.compile("(\\S+) .*event=request-forwarded request=(\\S+) .*");

  private static final Pattern WEIGHTS_ORDERED =
      Pattern.compile(
          "(\\S+) .*event=weights-ordered backend=(\\S+) model=\\S+ version=(\\d+) outcome=(\\S+).*");

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
    } catch (IOException failed) {
      throw new UncheckedIOException(failed);
    }
    Matcher matcher = BACKEND_LIVES.matcher(line);
    if (matcher.matches()) {
      long writtenMillis = StandardStreams.nowMillis() - ageMillis(matcher.group(1));
      long livedMillis = writtenMillis - Long.parseLong(matcher.group(3));
      notes.add(new Note.SaidToLive(livedMillis, node, matcher.group(2)));
    }
    Matcher forwarded = REQUEST_FORWARDED.matcher(line);
    if (forwarded.matches()) {
      long atMillis = StandardStreams.nowMillis() - ageMillis(forwarded.group(1));
      notes.add(new Note.Forwarded(atMillis, node, forwarded.group(2)));
    }
    recordOrder(line);
  }

  private void recordOrder(String line) {
    Matcher ordered = WEIGHTS_ORDERED.matcher(line);
    if (ordered.matches()) {
      long atMillis = StandardStreams.nowMillis() - ageMillis(ordered.group(1));
      long version = Long.parseLong(ordered.group(3));
      notes.add(new Note.OrderLogged(atMillis, node, ordered.group(2), version, ordered.group(4)));
    }
  }

  /**
   * Returns how long ago a line was written, which may be long for a node that was paused.
   *
   * @param timeOfDay time at the start of the line; 0 is returned if it is incomplete
   */
  private static long ageMillis(String timeOfDay) {
    try {
      long written = LocalTime.parse(timeOfDay).getLong(ChronoField.MILLI_OF_DAY);
      long age = LocalTime.now().getLong(ChronoField.MILLI_OF_DAY) - written;
      return Math.floorMod(age, DAY_MILLIS);
    } catch (DateTimeParseException incomplete) {
      return 0;
    }
  }
}
