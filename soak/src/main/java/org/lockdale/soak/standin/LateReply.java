package org.lockdale.soak.standin;

import org.lockdale.soak.judge.Note;

/**
 * A second reply and when it is written.
 *
 * @param text head and body
 * @param call id of the request, or path of the call, that it answers
 */
record LateReply(String text, String server, String call, int status, Moment moment) {

  /**
   * When a second reply is written.
   *
   * @param place place among the other replies of the connection
   * @param delayMillis time after the first reply, in milliseconds, for {@link Place#LATER}
   */
  record Moment(Place place, long delayMillis) {}

  /** Place of a second reply among the other replies of its connection. */
  enum Place {
    /** In the same write as the first reply. */
    BEHIND_FIRST,
    /** Some time after the first reply, but not within another one. */
    LATER,
    /** In the same write as the start of the next reply on the connection. */
    BEFORE_NEXT
  }

  /** Records that the reply is being written. */
  void record() {
    StandardStreams.writeNote(
        new Note.AnsweredAgain(
            StandardStreams.nowMillis(),
            server,
            call,
            status,
            moment.place() == Place.BEFORE_NEXT,
            moment.delayMillis()));
  }
}
