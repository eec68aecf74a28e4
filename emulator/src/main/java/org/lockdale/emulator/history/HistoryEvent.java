package org.lockdale.emulator.history;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.lockdale.emulator.engine.RunRecord;

/** Something that a caller, an engine or a node noted during a run. */
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

  /** How a call ended for its caller. */
  enum CallEnd {
    /** With a whole answer. */
    COMPLETE,
    /** With the word that it did not run. */
    NOT_RUN,
    /** With an error that leaves open whether it ran. */
    UNKNOWN,
    /** With a stream that broke off openly. */
    BROKEN
  }

  /**
   * One call as its caller saw it.
   *
   * @param call number of the call
   * @param requestId id the node gave it, or an empty string; attempts at engines begin with it
   * @param tenant tenant
   * @param service what the caller does
   * @param promptDigest identifies the prompt
   * @param expectedTokens length of the whole answer
   * @param idempotencyKey key, or an empty string
   * @param end how it ended
   * @param errorCode code of the error, or an empty string
   * @param answer text that arrived
   * @param startedAtMicros when it was sent
   * @param firstTokenMicros time to the first part of the answer, or -1
   * @param endedAtMicros when it ended
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
   * An engine began to run an attempt.
   *
   * @param engine engine id
   * @param incarnation its incarnation
   * @param attempt attempt id
   * @param promptDigest identifies the prompt
   * @param promptTokens length of the prompt
   * @param cachedTokens part found in the cache
   * @param heldElsewhereTokens part that another engine held
   * @param atMicros when
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

    /** Returns the event of an engine's own note. */
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

  /** An engine reused blocks of another tenant, model or weights version. */
  record ForeignReuse(String engine, long blocks) implements HistoryEvent {}

  /** An engine was announced to leave; it holds for this incarnation, as a restart ends it. */
  record EngineLeaving(String engine, String incarnation, long atMicros) implements HistoryEvent {}

  /** An edit of the configuration was accepted. */
  record ConfigurationAccepted(long version, long atMicros) implements HistoryEvent {}

  /** A version came into force at a node; a node's life ends with its restart. */
  record ConfigurationInForce(String node, long version, long atMicros) implements HistoryEvent {}
}
