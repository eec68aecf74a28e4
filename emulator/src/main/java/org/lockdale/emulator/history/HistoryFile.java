package org.lockdale.emulator.history;

import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SequenceWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads and writes histories as files with one JSON object per line. */
public final class HistoryFile {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private HistoryFile() {}

  /**
   * Reads a history.
   *
   * @throws IOException if the file cannot be read or is malformed
   */
  public static List<HistoryEvent> read(Path file) throws IOException {
    try (MappingIterator<HistoryEvent> events =
        MAPPER.readerFor(HistoryEvent.class).readValues(Files.newInputStream(file))) {
      return events.readAll();
    }
  }

  /**
   * Writes a history, replacing an existing file.
   *
   * @throws IOException if the file cannot be written
   */
  public static void write(Path file, List<HistoryEvent> events) throws IOException {
    try (SequenceWriter writer =
        MAPPER
            .writerFor(HistoryEvent.class)
            .withRootValueSeparator("\n")
            .writeValues(Files.newOutputStream(file))) {
      for (HistoryEvent event : events) {
        writer.write(event);
      }
    }
  }
}
