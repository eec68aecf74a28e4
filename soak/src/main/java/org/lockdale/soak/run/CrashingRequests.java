package org.lockdale.soak.run;

import java.util.Locale;
import org.lockdale.soak.judge.RequestFacts;
import org.lockdale.soak.standin.ServerBase;

/**
 * The requests that crash each server that runs them. Which turns of a caller they take is computed
 * instead of drawn, since a draw would change everything else drawn from the seed.
 */
final class CrashingRequests {

  /** One request in this many is the crashing one that all callers repeat. */
  private static final int REPEATED_INTERVAL = 60;

  /** Offset between callers, so that they send crashing requests at different times. */
  private static final int REPEATED_OFFSET = 7;

  /** The same for requests with a part in their prompts that crashes servers. */
  private static final int PART_INTERVAL = 48;

  private static final int PART_OFFSET = 11;

  /** First part of the prompts of sound requests too. */
  private static final String SHARED_PART = "0000";

  private static final int SHARED_PART_TOKENS = 1_200;
  private static final int PART_TOKENS = 200;

  private CrashingRequests() {}

  static boolean isRepeatedTurn(int caller, int request) {
    return (request + REPEATED_OFFSET * caller) % REPEATED_INTERVAL == 0;
  }

  static boolean isPartTurn(int caller, int request) {
    return (request + PART_OFFSET * caller) % PART_INTERVAL == 0;
  }

  /** Returns the request that is the same for all callers and nodes except for its id. */
  static RequestFacts repeated() {
    return new RequestFacts(
        "POST",
        "/stream/crashing",
        ServerBase.CRASHING_BODY_PREFIX,
        Processes.MODEL,
        "c0de:" + PART_TOKENS,
        PART_TOKENS + ",80");
  }

  /** Returns a request like no other that shares its first part with sound ones. */
  static RequestFacts withCrashingPart(String id) {
    String parts =
        String.format(
            Locale.ROOT,
            "%s:%d,%s:%d,%s:%d",
            SHARED_PART,
            SHARED_PART_TOKENS,
            RequestFacts.CRASHING_PART,
            PART_TOKENS,
            id,
            PART_TOKENS);
    String usage = SHARED_PART_TOKENS + 2 * PART_TOKENS + ",80";
    return new RequestFacts(
        "POST", "/stream/" + id, "body of " + id, Processes.MODEL, parts, usage);
  }
}
