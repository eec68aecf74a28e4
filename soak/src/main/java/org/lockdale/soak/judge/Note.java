package org.lockdale.soak.judge;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.jspecify.annotations.Nullable;

/**
 * What a caller, a server or the driver saw. Times are milliseconds of the machine's monotonic
 * clock, which all processes share.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "note")
public sealed interface Note {

  /** Returns when it was seen. */
  long atMillis();

  /**
   * A caller began to send a request.
   *
   * @param request id of the request
   * @param node node that the caller is connected to
   * @param key API key, or null for none
   * @param deadlineMillis time for which the caller waits
   * @param lastEventId event after which a stream begins; 0 for its start
   */
  record Sent(
      long atMillis,
      String request,
      String node,
      RequestKind kind,
      RequestFacts facts,
      @Nullable String key,
      long deadlineMillis,
      int lastEventId)
      implements Note {}

  /**
   * A caller read an answer.
   *
   * @param signature signature of the server's run, or null for none
   * @param whole whether the answer's framing says that it is complete
   */
  record Answered(
      long atMillis,
      String request,
      int status,
      @Nullable String signature,
      String body,
      boolean whole)
      implements Note {}

  /** A caller read bytes of an answer on a connection where no request was waiting. */
  record Surplus(long atMillis, String node, String text) implements Note {}

  /** A caller closed its connection before the answer's end. */
  record Left(long atMillis, String request) implements Note {}

  /** A request reached a server. */
  record Arrived(long atMillis, String server, String service, String request) implements Note {}

  /** A server refused a request without running it. */
  record Rejected(long atMillis, String server, String request, int status) implements Note {}

  /**
   * A server began to run a request.
   *
   * @param run id of the run, which the answer carries as its signature
   * @param tenant tenant that the request was passed on under, or null for none
   * @param weights version of the weights, or 0 at a server without a model
   * @param remainingMillis time that the server was given, or 0 for no bound
   * @param plannedMillis time for which the run lasts if nobody stops it
   * @param lastEventId event after which a stream begins; 0 for its start
   */
  record Begun(
      long atMillis,
      String server,
      String service,
      String request,
      String run,
      RequestFacts facts,
      @Nullable String tenant,
      long weights,
      long remainingMillis,
      long plannedMillis,
      int lastEventId)
      implements Note {}

  /**
   * A server ended a run.
   *
   * @param status status that the server answered with
   * @param body what it wrote, or meant to write, as its whole answer
   * @param whole whether the server came to the end of its answer
   */
  record Ended(long atMillis, String run, int status, String body, boolean whole) implements Note {}

  /**
   * A server names a rate from now on.
   *
   * @param perSecond requests a second that it takes from all nodes, or null for no rate any more
   */
  record RateNamed(long atMillis, String server, @Nullable Double perSecond) implements Note {}

  /** A server named its rate in its answer to a request. */
  record RateTold(long atMillis, String server, String request) implements Note {}

  /** A server said in its answer to a request that it leaves. */
  record LeavingTold(long atMillis, String server, String request) implements Note {}

  /**
   * A server asked for rest in its answer to a request that it turned away.
   *
   * @param restMillis rest that it asked for, in milliseconds
   */
  record RestTold(long atMillis, String server, String request, long restMillis) implements Note {}

  /** A server ended of a request that it had begun to run. */
  record Crashed(long atMillis, String server, String request) implements Note {}

  /**
   * A node said in its log of a server whose end it had counted that it lived.
   *
   * @param atMillis when the server lived, by the node's word
   */
  record SaidToLive(long atMillis, String node, String server) implements Note {}

  /**
   * A run used cached parts of an earlier request.
   *
   * @param maker tenant whose request made them, or null for none
   * @param madeWeights version of the weights that made them
   */
  record PartsUsed(long atMillis, String run, @Nullable String maker, long madeWeights)
      implements Note {}

  /**
   * A server was ordered to change its weights.
   *
   * @param holder node that gave the order
   * @param fence fencing token of the order
   */
  record Ordered(long atMillis, String server, String holder, long fence) implements Note {}

  /** The operator began to write a configuration. */
  record ConfigurationSent(long atMillis, ConfigurationFacts facts) implements Note {}

  /** The store acknowledged a configuration. */
  record ConfigurationAcknowledged(long atMillis, long version) implements Note {}

  /** The store acknowledged that newer weights are wanted. */
  record WeightsAcknowledged(long atMillis, String model, long version) implements Note {}

  /** The store acknowledged that a server leaves or has left. */
  record LeavingAcknowledged(long atMillis, String server) implements Note {}

  /** A node's process was started. */
  record Started(long atMillis, String node) implements Note {}

  /**
   * A disruption began.
   *
   * @param subject machine, {@link History#CORE}, or {@link History#EVERYTHING}
   * @param onLink whether it harms a link
   */
  record DisruptionBegan(long atMillis, long id, String subject, boolean onLink) implements Note {}

  /** A disruption ended. */
  record DisruptionEnded(long atMillis, long id) implements Note {}
}
