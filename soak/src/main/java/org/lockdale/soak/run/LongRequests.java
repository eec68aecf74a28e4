package org.lockdale.soak.run;

import java.util.Locale;
import java.util.SplittableRandom;
import org.lockdale.soak.judge.RequestFacts;
import org.lockdale.soak.judge.RequestKind;
import org.lockdale.soak.standin.ServerBase;

/**
 * Draws repeatable requests whose responses take longer than half of the time that their callers
 * wait. A node that finds an attempt silent for half of that time sends such a request again.
 */
final class LongRequests implements RequestSource {

  private static final int MIN_DEADLINE_MILLIS = 3_500;
  private static final int MAX_DEADLINE_MILLIS = 4_500;
  private static final int MAX_LAST_EVENT = 20;
  private static final int UNIQUE_PART_TOKENS = 200;
  private static final int OUTPUT_TOKENS = 200;

  /** One request in this many has a single response, the others are streams. */
  private static final int SINGLE_RESPONSE_ONE_IN = 3;

  /** One stream in this many is asked for from a later event on. */
  private static final int LATER_EVENT_ONE_IN = 3;

  private final SplittableRandom random;

  LongRequests(SplittableRandom random) {
    this.random = random;
  }

  @Override
  public CallerRequest next(int request, String id) {
    boolean single = random.nextInt(SINGLE_RESPONSE_ONE_IN) == 0;
    boolean later = !single && random.nextInt(LATER_EVENT_ONE_IN) == 0;
    return new CallerRequest(
        id,
        single ? RequestKind.SAFE : RequestKind.RESUMABLE,
        single ? facts("safe", id) : modelFacts(id),
        Operator.STEADY_KEY,
        random.nextInt(MIN_DEADLINE_MILLIS, MAX_DEADLINE_MILLIS),
        later ? random.nextInt(1, MAX_LAST_EVENT) : 0,
        0,
        null);
  }

  private static RequestFacts facts(String route, String id) {
    return new RequestFacts("POST", path(route, id), body(id), null, null, null);
  }

  private static RequestFacts modelFacts(String id) {
    return new RequestFacts(
        "POST",
        path("resumable", id),
        body(id),
        Processes.MODEL,
        id + ":" + UNIQUE_PART_TOKENS,
        String.format(Locale.ROOT, "%d,%d", UNIQUE_PART_TOKENS, OUTPUT_TOKENS));
  }

  private static String path(String route, String id) {
    return "/" + route + "/" + id;
  }

  private static String body(String id) {
    return ServerBase.SLOW_BODY_PREFIX + " of " + id;
  }
}
