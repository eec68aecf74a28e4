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
import org.lockdale.soak.judge.ForwardingCounts;
import org.lockdale.soak.judge.History;
import org.lockdale.soak.judge.Note;
import org.lockdale.soak.judge.RepeatedRequestCounts;
import org.lockdale.soak.judge.RuleBreak;
import org.lockdale.soak.judge.RuleChecker;
import org.lockdale.soak.judge.SecondReplyCounts;
import org.lockdale.soak.judge.TakenUpStreams;
import org.lockdale.soak.standin.StandardStreams;

/** Records all notes of a run in the checker's history and in a file. Thread-safe. */
final class NoteLog implements Closeable {

  private final History history;
  private final Writer file;
  private final AtomicLong disruptions = new AtomicLong();
  private boolean closed;

  NoteLog(Bounds bounds, Path path) throws IOException {
    history = new History(bounds);
    file = Files.newBufferedWriter(path);
  }

  /** Reads the notes that a run wrote into a file. */
  static History read(Bounds bounds, Path path) throws IOException {
    History history = new History(bounds);
    for (String line : Files.readAllLines(path)) {
      history.add(StandardStreams.parse(line, Note.class));
    }
    return history;
  }

  /** Returns the counts about requests that crash servers. */
  synchronized CrashCounts crashCounts() {
    return CrashCounts.of(history);
  }

  /** Returns the counts about requests that nodes forwarded. */
  synchronized ForwardingCounts forwardingCounts() {
    return ForwardingCounts.of(history);
  }

  /** Returns how often streams that callers took up went on. */
  synchronized TakenUpStreams takenUpStreams() {
    return TakenUpStreams.of(history);
  }

  /** Returns how often the request that is the same each time was served after disruptions. */
  synchronized RepeatedRequestCounts repeatedRequests() {
    return RepeatedRequestCounts.of(history);
  }

  /** Returns the counts about servers that answered twice. */
  synchronized SecondReplyCounts secondReplies() {
    return SecondReplyCounts.of(history);
  }

  /** Adds a note. Notes that arrive after {@link #close} are ignored. */
  synchronized void add(Note note) {
    if (closed) {
      return;
    }
    history.add(note);
    try {
      file.write(StandardStreams.json(note) + "\n");
    } catch (IOException failed) {
      throw new UncheckedIOException(failed);
    }
  }

  synchronized List<RuleBreak> findViolations() {
    return RuleChecker.check(history);
  }

  /**
   * Records that a disruption starts now and returns its id.
   *
   * @param subject subject, as {@link Note.DisruptionBegan} defines it
   * @param onLink whether it affects a link
   */
  long recordDisruptionStart(String subject, boolean onLink) {
    return recordDisruptionStartAt(StandardStreams.nowMillis(), subject, onLink);
  }

  long recordDisruptionStartAt(long atMillis, String subject, boolean onLink) {
    long id = disruptions.incrementAndGet();
    add(new Note.DisruptionBegan(atMillis, id, subject, onLink));
    return id;
  }

  void recordDisruptionEnd(long id) {
    add(new Note.DisruptionEnded(StandardStreams.nowMillis(), id));
  }

  /**
   * Records that the machine did not schedule the driver from the given time until now. This counts
   * as a disruption of everything, so that other load on the machine isn't attributed to a node.
   */
  void recordMachineStall(long sinceMillis) {
    recordDisruptionEnd(recordDisruptionStartAt(sinceMillis, History.HOST, true));
  }

  /** Records that the soak's proxy forwarded data late, a delay that no node can avoid. */
  void recordForwardingDelay(String what, long sinceMillis) {
    recordDisruptionEnd(recordDisruptionStartAt(sinceMillis, what, false));
  }

  @Override
  public synchronized void close() throws IOException {
    closed = true;
    file.close();
  }
}
