package org.lockdale.emulator.history;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.lockdale.emulator.engine.RunRecord;

/** An event that was recorded during a run, at a caller, an engine or a node. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "event")
@JsonSubTypes({
  @JsonSubTypes.Type(value = HistoryEvent.Call.class, name = "call"),
  @JsonSubTypes.Type(value = HistoryEvent.Run.class, name = "run"),
  @JsonSubTypes.Type(value = HistoryEvent.ForeignReuse.class, name = "foreign-reuse"),
  @JsonSubTypes.Type(value = HistoryEvent.EngineLeaving.class, name = "engine-leaving"),
  @JsonSubTypes.Type(value = HistoryEvent.ConfigurationAccepted.class, name = "accepted"),
  @JsonSubTypes.Type(value = HistoryEvent.ConfigurationInForce.class, name = "in-force")
})
public sealed interface HistoryEvent {

  /** Outcome of a call for its caller. */
  enum CallEnd {
    /** The response was complete. */
    COMPLETE,
    /** An error reported that the request did not run, or nothing was sent. */
    NOT_RUN,
    /** An error left open whether the request ran. */
    UNKNOWN,
    /** A stream ended without the end marker. */
    BROKEN
  }

  /**
   * A call as its caller observed it.
   *
   * @param call number of the call
   * @param requestId id that the node assigned, or an empty string; ids of its attempts begin with
   *     it
   * @param tenant tenant name
   * @param service kind of the request, such as {@code balance-check}
   * @param promptDigest digest of the prompt
   * @param expectedTokens length of the complete response in tokens
   * @param idempotencyKey idempotency key, or an empty string
   * @param end outcome
   * @param errorCode error code, or an empty string
   * @param answer text received
   * @param startedAtMicros time at which it was sent, in microseconds of the recorder's clock
   * @param firstTokenMicros microseconds from sending to the first part of the response, or -1 if
   *     there was none
   * @param endedAtMicros time at which it ended, in microseconds of the recorder's clock
   */
  record Call(
      long call,
      String requestId,
      String tenant,
      String service,
      long promptDigest,
      int expectedTokens,
      String idempotencyKey,
      CallEnd end,
      String errorCode,
      String answer,
      long startedAtMicros,
      long firstTokenMicros,
      long endedAtMicros)
      implements HistoryEvent {}

  /**
   * An engine started to run an attempt.
   *
   * @param engine engine id
   * @param incarnation its incarnation
   * @param attempt attempt id
   * @param promptDigest digest of the prompt
   * @param promptTokens length of the prompt in tokens
   * @param cachedTokens prompt tokens found in the cache
   * @param heldElsewhereTokens prompt tokens not found in the cache although another engine held
   *     them
   * @param atMicros time in microseconds of the recorder's clock
   */
  record Run(
      String engine,
      String incarnation,
      String attempt,
      long promptDigest,
      int promptTokens,
      int cachedTokens,
      int heldElsewhereTokens,
      long atMicros)
      implements HistoryEvent {

    /** Returns the event for the record of an engine. */
    public static Run of(RunRecord run, long atMicros) {
      return new Run(
          run.engineId(),
          run.incarnation(),
          run.attemptId(),
          run.promptDigest(),
          run.promptTokens(),
          run.cachedTokens(),
          run.heldElsewhereTokens(),
          atMicros);
    }
  }

  /** An engine reused cached blocks of another tenant, model or weights version. */
  record ForeignReuse(String engine, long blocks) implements HistoryEvent {}

  /** An engine was announced as draining; a restart, and so a new incarnation, ends it. */
  record EngineLeaving(String engine, String incarnation, long atMicros) implements HistoryEvent {}

  /** An edit of the configuration was accepted. */
  record ConfigurationAccepted(long version, long atMicros) implements HistoryEvent {}

  /**
   * A configuration version was in force at a node.
   *
   * @param node identifies one run of the node, as a restarted node may start at an older version
   * @param version configuration version
   * @param atMicros time in microseconds of the recorder's clock
   */
  record ConfigurationInForce(String node, long version, long atMicros) implements HistoryEvent {}
}
