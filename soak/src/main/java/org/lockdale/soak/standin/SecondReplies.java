package org.lockdale.soak.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;
import org.lockdale.soak.judge.RequestIds;
import org.lockdale.soak.standin.LateReply.Moment;
import org.lockdale.soak.standin.LateReply.Place;

/**
 * Draws the second replies of a server that answers twice. Each carries a mark, by which callers
 * recognize it, or a number that no first reply has, by which servers recognize a node that has
 * used it.
 */
final class SecondReplies {

  /** Numbers from here on stand only in second replies to reports and calls for cache events. */
  static final long FIRST_MARKED_NUMBER = 1_000_000_000;

  private static final int PROCESSING = 102;
  private static final int OK = 200;
  private static final int MULTIPLE_CHOICES = 300;
  private static final int SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;

  private final String instance;
  private volatile Setting setting = Setting.NONE;

  /**
   * Which replies are repeated, and how.
   *
   * @param share part of the replies that are repeated, 0 to 1
   * @param maxDelayMillis maximum time from the first to the second reply, in milliseconds
   */
  private record Setting(SecondReplyKind kind, double share, int maxDelayMillis) {

    static final Setting NONE = new Setting(SecondReplyKind.FAILURE_AFTER_SUCCESS, 0, 1);

    static Setting parse(String text) {
      String[] parts = text.split(" ");
      return text.isEmpty()
          ? NONE
          : new Setting(
              SecondReplyKind.valueOf(parts[0]),
              Double.parseDouble(parts[1]),
              Integer.parseInt(parts[2]));
    }
  }

  SecondReplies(String instance) {
    this.instance = instance;
  }

  /** Applies a setting: the kind, the share and the longest delay, or nothing for none. */
  void configure(String text) {
    setting = Setting.parse(text);
  }

  /** Returns how the next reply is repeated, or null if it is not. */
  @Nullable SecondReplyKind draw() {
    Setting current = setting;
    return ThreadLocalRandom.current().nextDouble() < current.share() ? current.kind() : null;
  }

  /** Returns whether the first reply to a request that is run has to be a failure. */
  static boolean failsFirst(SecondReplyKind kind) {
    return switch (kind) {
      case SUCCESS_AFTER_FAILURE -> true;
      case WITHOUT_LENGTH, INFORMATIONAL_HEAD -> ThreadLocalRandom.current().nextBoolean();
      default -> false;
    };
  }

  /**
   * Returns the second reply to a caller's request.
   *
   * @param run run that the reply names, or one that was never started
   * @param body body of a success
   */
  LateReply toRequest(
      SecondReplyKind kind, String noteId, int firstStatus, String run, String body) {
    boolean succeeds = firstStatus < OK || firstStatus >= MULTIPLE_CHOICES;
    int failure = kind == SecondReplyKind.REFUSAL_AFTER_SUCCESS ? UNAVAILABLE : SERVER_ERROR;
    int status = succeeds ? OK : failure;
    List<String> headers = new ArrayList<>();
    headers.add(HeaderNames.SECOND_REPLY + ": " + run);
    headers.add(
        status == UNAVAILABLE
            ? HeaderNames.NOT_EXECUTED + ": 1"
            : HeaderNames.SIGNATURE + ": " + run);
    Reply second =
        new Reply(
            status, RequestIds.idOf(noteId), succeeds ? body : "second reply of " + run, headers);
    return late(kind, noteId, second);
  }

  /**
   * Returns the second reply to a call without an id.
   *
   * @param body body of a success
   */
  LateReply toCall(SecondReplyKind kind, String path, String body) {
    Reply second =
        switch (kind) {
          case FAILURE_AFTER_SUCCESS -> Reply.of(SERVER_ERROR, "", "");
          case REFUSAL_AFTER_SUCCESS ->
              Reply.of(UNAVAILABLE, "", "", HeaderNames.NOT_EXECUTED + ": 1");
          default -> Reply.of(OK, "", body, "Content-Type: application/json");
        };
    return late(kind, path, second);
  }

  private LateReply late(SecondReplyKind kind, String call, Reply second) {
    String text =
        switch (kind) {
          case WITHOUT_LENGTH -> second.textWithoutLength();
          case INFORMATIONAL_HEAD ->
              new Reply(PROCESSING, second.id(), "", List.of()).textWithoutLength() + second.text();
          default -> second.text();
        };
    return new LateReply(text, instance, call, second.status(), moment());
  }

  private Moment moment() {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    return switch (random.nextInt(4)) {
      case 0 -> new Moment(Place.BEHIND_FIRST, 0);
      case 1 -> new Moment(Place.BEFORE_NEXT, 0);
      default -> new Moment(Place.LATER, random.nextInt(1, setting.maxDelayMillis() + 1));
    };
  }
}
