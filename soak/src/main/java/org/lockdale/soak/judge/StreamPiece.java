package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.List;

/**
 * One event of a stream in the format of the stand-in engines.
 *
 * @param id number of the event, starting at 1
 * @param run run that wrote it
 * @param last whether it is the last event of the stream
 */
public record StreamPiece(int id, String run, boolean last) {

  /** Id of an event whose id is not a number, as where an event begins within another one. */
  static final int UNREADABLE_ID = Integer.MAX_VALUE;

  private static final String ID = "id: ";
  private static final String DATA = "data: ";
  private static final String LAST = " last";

  /** Returns the event's text. */
  public String text() {
    return ID + id + "\n" + DATA + run + (last ? LAST : "") + "\n\n";
  }

  /** Parses the complete events of a body; skips an incomplete last one and those without id. */
  public static List<StreamPiece> parse(String body) {
    List<StreamPiece> pieces = new ArrayList<>();
    String[] events = body.split("\n\n", -1);
    for (int index = 0; index < events.length - 1; index++) {
      int id = 0;
      String data = "";
      for (String line : events[index].split("\n")) {
        if (line.startsWith(ID)) {
          id = parseId(line.substring(ID.length()).trim());
        } else if (line.startsWith(DATA)) {
          data = line.substring(DATA.length());
        }
      }
      if (id > 0) {
        boolean last = data.endsWith(LAST);
        pieces.add(
            new StreamPiece(
                id, last ? data.substring(0, data.length() - LAST.length()) : data, last));
      }
    }
    return pieces;
  }

  private static int parseId(String text) {
    try {
      return Integer.parseInt(text);
    } catch (NumberFormatException mixedEvents) {
      return UNREADABLE_ID;
    }
  }
}
