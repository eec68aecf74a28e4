package org.lockdale.soak.run;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.lockdale.soak.judge.Bounds;
import org.lockdale.soak.judge.CrashCounts;
import org.lockdale.soak.judge.History;
import org.lockdale.soak.judge.Judge;
import org.lockdale.soak.judge.Note;
import org.lockdale.soak.judge.RuleBreak;
import org.lockdale.soak.standin.StandardStreams;

/** Keeps all notes of a run, in the judge's history and in a file. Thread-safe. */
final class NoteLog implements Closeable {

  private final History history;
  private final Writer file;
  private final AtomicLong disruptions = new AtomicLong();
  private boolean closed;

  NoteLog(Bounds bounds, Path path) throws IOException {
    history = new History(bounds);
    file = Files.newBufferedWriter(path);
  }

  /** Reads the notes that a run has left in a file. */
  static History read(Bounds bounds, Path path) throws IOException {
    History history = new History(bounds);
    for (String line : Files.readAllLines(path)) {
      history.add(StandardStreams.parse(line, Note.class));
    }
    return history;
  }

  /** Returns what requests that end servers have done. */
  synchronized CrashCounts crashCounts() {
    return CrashCounts.of(history);
  }

  /** Adds a note; what comes after the end of the run is of no use any more. */
  synchronized void add(Note note) {
    if (closed) {
      return;
    }
    history.add(note);
    try {
      file.write(StandardStreams.json(note) + "\n");
    } catch (IOException full) {
      throw new UncheckedIOException(full);
    }
  }

  synchronized List<RuleBreak> breaks() {
    return Judge.breaks(history);
  }

  /** Notes that a disruption begins and returns its number. */
  long disruptionBegins(String subject, boolean onLink) {
    return disruptionBegan(StandardStreams.nowMillis(), subject, onLink);
  }

  long disruptionBegan(long atMillis, String subject, boolean onLink) {
    long id = disruptions.incrementAndGet();
    add(new Note.DisruptionBegan(atMillis, id, subject, onLink));
    return id;
  }

  void disruptionEnds(long id) {
    add(new Note.DisruptionEnded(StandardStreams.nowMillis(), id));
  }

  /**
   * Notes that the machine didn't run the driver, which counts as a disruption of everything: other
   * work on it must not look like a node's fault.
   */
  void machineStalled(long sinceMillis) {
    disruptionEnds(disruptionBegan(sinceMillis, History.EVERYTHING, true));
  }

  /** Notes that the soak itself passed something on late, which no node could hasten. */
  void heldUp(String what, long sinceMillis) {
    disruptionEnds(disruptionBegan(sinceMillis, what, false));
  }

  @Override
  public synchronized void close() throws IOException {
    closed = true;
    file.close();
  }
}
