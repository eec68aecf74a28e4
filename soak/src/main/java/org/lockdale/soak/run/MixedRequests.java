package org.lockdale.soak.run;

import java.util.Locale;
import java.util.SplittableRandom;
import org.lockdale.soak.judge.RequestFacts;
import org.lockdale.soak.judge.RequestKind;

/** Draws requests of all kinds, most of which take less than a second. */
final class MixedRequests implements RequestSource {

  private static final int MAX_STAY_MILLIS = 700;
  private static final int MIN_DEADLINE_MILLIS = 1_500;
  private static final int MAX_DEADLINE_MILLIS = 8_000;
  private static final int SHARED_PREFIXES = 12;
  private static final int SHARED_PART_TOKENS = 1_200;
  private static final int UNIQUE_PART_TOKENS = 200;

  /** One body in this many is so long that it takes several packets. */
  private static final int LONG_BODY_INTERVAL = 10;

  private static final int LONG_BODY_BYTES = 6_000;

  private final int number;
  private final SplittableRandom random;
  private final Operator operator;

  /**
   * Creates a source.
   *
   * @param number number of the caller
   */
  MixedRequests(int number, SplittableRandom random, Operator operator) {
    this.number = number;
    this.random = random;
    this.operator = operator;
  }

  @Override
  public CallerRequest next(int request, String id) {
    int draw = random.nextInt(100);
    String route;
    RequestKind kind;
    if (draw < 18) {
      route = "safe";
      kind = RequestKind.SAFE;
    } else if (draw < 36) {
      route = "unsafe";
      kind = RequestKind.UNSAFE;
    } else if (draw < 50) {
      route = "moving";
      kind = RequestKind.UNSAFE;
    } else if (draw < 56) {
      route = operator.addedRoute();
      kind = RequestKind.SAFE;
    } else if (draw < 74) {
      route = "stream";
      kind = RequestKind.STREAM;
    } else {
      route = "resumable";
      kind = RequestKind.RESUMABLE;
    }
    if (CrashingRequests.isRepeatedTurn(number, request)) {
      return crashing(id, CrashingRequests.repeated());
    }
    if (CrashingRequests.isPartTurn(number, request)) {
      return crashing(id, CrashingRequests.withCrashingPart(id));
    }
    boolean resumes = kind == RequestKind.RESUMABLE && random.nextInt(10) == 0;
    boolean abandons = random.nextInt(12) == 0;
    return new CallerRequest(
        id,
        kind,
        randomFacts(route, id, kind),
        randomKey(),
        random.nextInt(MIN_DEADLINE_MILLIS, MAX_DEADLINE_MILLIS),
        resumes ? 2 : 0,
        abandons ? random.nextInt(1, MAX_STAY_MILLIS) : 0,
        null);
  }

  private static CallerRequest crashing(String id, RequestFacts facts) {
    return new CallerRequest(
        id, RequestKind.STREAM, facts, Operator.STEADY_KEY, MIN_DEADLINE_MILLIS, 0, 0, null);
  }

  private RequestFacts randomFacts(String route, String id, RequestKind kind) {
    boolean isLong = random.nextInt(LONG_BODY_INTERVAL) == 0;
    String body = "body of " + id + ".".repeat(isLong ? LONG_BODY_BYTES : 0);
    String path = "/" + route + "/" + id + "?item=" + number;
    if (!kind.isStreaming()) {
      return new RequestFacts("POST", path, body, null, null, null);
    }
    StringBuilder parts = new StringBuilder();
    int shared = random.nextInt(SHARED_PREFIXES);
    for (int part = 0; part <= shared % 3; part++) {
      parts.append(String.format(Locale.ROOT, "%02x%02x:%d,", shared, part, SHARED_PART_TOKENS));
    }
    parts.append(id).append(':').append(UNIQUE_PART_TOKENS);
    String usage = (shared % 3 + 1) * SHARED_PART_TOKENS + UNIQUE_PART_TOKENS + ",80";
    return new RequestFacts("POST", path, body, Processes.MODEL, parts.toString(), usage);
  }

  private String randomKey() {
    int draw = random.nextInt(10);
    if (draw == 0) {
      return operator.replacedKey();
    }
    if (draw < 4) {
      return operator.changingKey();
    }
    return draw < 7 ? Operator.ISOLATED_KEY : Operator.STEADY_KEY;
  }
}
