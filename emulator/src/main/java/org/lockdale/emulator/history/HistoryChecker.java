package org.lockdale.emulator.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lockdale.emulator.engine.ResponseText;

/**
 * Checks a history against the guarantees given to users. Which attempts ran is taken from the
 * records of the engines, never from the responses of a node.
 */
public final class HistoryChecker {

  /** Time after the announcement that an engine drains within which it may still get new work. */
  private static final long MAX_DRAIN_NOTICE_MICROS = 5_000_000;

  /** Time within which an accepted configuration must be in force at every node of the history. */
  private static final long MAX_ACTIVATION_MICROS = 4_000_000;

  private final List<String> violations = new ArrayList<>();
  private final Map<Long, List<HistoryEvent.Run>> runsByPrompt = new HashMap<>();
  private final Map<Long, List<HistoryEvent.Call>> callsByPrompt = new HashMap<>();
  private int calls;
  private int runs;

  private HistoryChecker() {}

  /** Returns the result of checking a history. */
  public static Verdict check(List<HistoryEvent> history) {
    HistoryChecker checker = new HistoryChecker();
    history.forEach(checker::index);
    checker.checkResponses();
    checker.checkNotRun();
    checker.checkRunOnce();
    checker.checkDraining(history);
    checker.checkConfiguration(history);
    return new Verdict(checker.calls, checker.runs, List.copyOf(checker.violations));
  }

  private void index(HistoryEvent event) {
    if (event instanceof HistoryEvent.Call call) {
      calls++;
      callsByPrompt.computeIfAbsent(call.promptDigest(), absent -> new ArrayList<>()).add(call);
    } else if (event instanceof HistoryEvent.Run run) {
      runs++;
      runsByPrompt.computeIfAbsent(run.promptDigest(), absent -> new ArrayList<>()).add(run);
    } else if (event instanceof HistoryEvent.ForeignReuse reuse && reuse.blocks() > 0) {
      violations.add(
          "engine "
              + reuse.engine()
              + " reused "
              + reuse.blocks()
              + " blocks across tenant, model or weights version");
    }
  }

  private void checkResponses() {
    for (List<HistoryEvent.Call> samePrompt : callsByPrompt.values()) {
      for (HistoryEvent.Call call : samePrompt) {
        checkResponse(call);
      }
    }
  }

  private void checkResponse(HistoryEvent.Call call) {
    String expected = ResponseText.completeText(call.promptDigest(), call.expectedTokens());
    if (call.end() == HistoryEvent.CallEnd.COMPLETE && !call.answer().equals(expected)) {
      violations.add(
          "call "
              + call.call()
              + " ended as complete, but its response is "
              + (expected.startsWith(call.answer())
                  ? "cut short"
                  : "not the expected one or out of order"));
    } else if (!expected.startsWith(call.answer())) {
      violations.add(
          "call " + call.call() + " received a response that is not a prefix of the expected one");
    }
  }

  private void checkNotRun() {
    callsByPrompt.forEach(
        (prompt, sameCalls) -> {
          List<HistoryEvent.Run> sameRuns = runsByPrompt.getOrDefault(prompt, List.of());
          for (HistoryEvent.Call call : sameCalls) {
            if (call.end() == HistoryEvent.CallEnd.NOT_RUN && ranFor(call, sameRuns)) {
              violations.add("call " + call.call() + " ended as 'not run', but it ran");
            }
          }
        });
  }

  /**
   * Returns whether an engine ran an attempt of the call; attempt ids begin with the request id.
   */
  private static boolean ranFor(HistoryEvent.Call call, List<HistoryEvent.Run> sameRuns) {
    return !call.requestId().isEmpty()
        && sameRuns.stream().anyMatch(run -> run.attempt().startsWith(call.requestId()));
  }

  private void checkRunOnce() {
    callsByPrompt.forEach(
        (prompt, sameCalls) -> {
          String key = sameCalls.get(0).idempotencyKey();
          int count = runsByPrompt.getOrDefault(prompt, List.of()).size();
          if (!key.isEmpty() && count > 1) {
            violations.add("the request with idempotency key " + key + " ran " + count + " times");
          }
        });
  }

  private void checkDraining(List<HistoryEvent> history) {
    Map<String, Long> drainingSince = new HashMap<>();
    for (HistoryEvent event : history) {
      if (event instanceof HistoryEvent.EngineLeaving leaving) {
        drainingSince.put(leaving.engine() + leaving.incarnation(), leaving.atMicros());
      }
    }
    for (List<HistoryEvent.Run> sameRuns : runsByPrompt.values()) {
      for (HistoryEvent.Run run : sameRuns) {
        Long since = drainingSince.get(run.engine() + run.incarnation());
        if (since != null && run.atMicros() > since + MAX_DRAIN_NOTICE_MICROS) {
          violations.add(
              "engine "
                  + run.engine()
                  + " received new work long after it was announced as draining");
        }
      }
    }
  }

  private void checkConfiguration(List<HistoryEvent> history) {
    Map<String, Long> highest = new HashMap<>();
    for (HistoryEvent event : history) {
      if (event instanceof HistoryEvent.ConfigurationInForce inForce) {
        long before = highest.getOrDefault(inForce.node(), 0L);
        if (inForce.version() < before) {
          violations.add(
              "node "
                  + inForce.node()
                  + " went back from configuration version "
                  + before
                  + " to "
                  + inForce.version());
        }
        highest.put(inForce.node(), Math.max(before, inForce.version()));
      }
    }
    for (HistoryEvent event : history) {
      if (event instanceof HistoryEvent.ConfigurationAccepted accepted) {
        checkInForce(accepted, history, highest.keySet());
      }
    }
  }

  private void checkInForce(
      HistoryEvent.ConfigurationAccepted accepted, List<HistoryEvent> history, Set<String> nodes) {
    Set<String> late = new HashSet<>(nodes);
    for (HistoryEvent event : history) {
      if (event instanceof HistoryEvent.ConfigurationInForce inForce
          && inForce.version() >= accepted.version()
          && inForce.atMicros() <= accepted.atMicros() + MAX_ACTIVATION_MICROS) {
        late.remove(inForce.node());
      }
    }
    for (String node : late) {
      violations.add(
          "configuration version "
              + accepted.version()
              + " was not in force at node "
              + node
              + " in time");
    }
  }
}
