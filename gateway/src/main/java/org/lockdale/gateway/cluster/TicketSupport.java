package org.lockdale.gateway.cluster;

import java.util.HashMap;
import java.util.Map;

/** Which relays answer tickets; those of an earlier build drop them. Confined to one thread. */
final class TicketSupport {

  /**
   * Number of unanswered tickets after which a relay that has never answered one is taken for one
   * of an earlier build. One that is slow at its start answers some of them.
   */
  private static final int MAX_UNANSWERED = 3;

  /** Time for which a relay that answers no tickets is asked without them, in milliseconds. */
  private static final long WITHOUT_TICKET_MILLIS = 5_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Map<String, Long> heardMillis = new HashMap<>();
  private final Map<String, Long> withoutTicketUntilMillis = new HashMap<>();
  private final Map<String, Integer> unanswered = new HashMap<>();

  /** Records that a relay has sent a message about a ticket. */
  void recordHeard(String relay, long nowMillis) {
    heardMillis.put(relay, nowMillis);
    withoutTicketUntilMillis.remove(relay);
    unanswered.remove(relay);
  }

  /** Records that a relay that has never answered a ticket has not answered one. */
  void recordUnanswered(String relay, long nowMillis) {
    if (unanswered.merge(relay, 1, Integer::sum) >= MAX_UNANSWERED) {
      unanswered.remove(relay);
      withoutTicketUntilMillis.put(relay, nowMillis + WITHOUT_TICKET_MILLIS);
    }
  }

  /** Returns whether a relay has ever answered a ticket. */
  boolean isKnown(String relay) {
    return heardMillis.containsKey(relay);
  }

  /** Returns when a relay was last heard, in monotonic milliseconds; far in the past if never. */
  long heardMillis(String relay) {
    return heardMillis.getOrDefault(relay, NEVER);
  }

  /** Returns whether a relay is asked without tickets at present. */
  boolean isAskedWithoutTicket(String relay, long nowMillis) {
    return withoutTicketUntilMillis.getOrDefault(relay, NEVER) > nowMillis;
  }
}
