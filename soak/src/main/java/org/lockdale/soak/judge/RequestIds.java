package org.lockdale.soak.judge;

/**
 * Ids of requests in notes. A caller that repeats a request under its id numbers its sends, so that
 * each has notes of its own.
 */
public final class RequestIds {

  private static final char SEPARATOR = '#';

  private RequestIds() {}

  /**
   * Returns the id in notes.
   *
   * @param id id on the wire
   * @param send number of the send, starting at 1
   */
  public static String noteId(String id, int send) {
    return send <= 1 ? id : id + SEPARATOR + send;
  }

  /** Returns the id on the wire of an id in notes. */
  public static String idOf(String noteId) {
    int end = noteId.indexOf(SEPARATOR);
    return end < 0 ? noteId : noteId.substring(0, end);
  }
}
