package org.lockdale.gateway.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The prompts that a decider has admitted to each engine, from which it derives how many of the
 * tokens that wait there are urgent: reports tell only their sum. An engine computes more urgent
 * prompts first and those of one priority in order, so when the sum has fallen below what was
 * admitted, the prompts at the front of that order have been computed. Tokens beyond those admitted
 * come from other deciders and count as the most urgent. Performs no I/O. Not thread-safe.
 */
public final class AdmittedWork {

  /**
   * Time after which an observation of an engine's memory includes an admission: the interval of
   * observations and half as much for their way.
   */
  private static final long OBSERVATION_LAG_MILLIS = 150;

  /** Time after which an admitted prompt has been computed or its request has failed. */
  private static final long MAX_WAIT_MILLIS = 10_000;

  private record Prompt(long tokens, long memoryTokens, long atMillis) {}

  private static final class Engine {
    private final List<Deque<Prompt>> byPriority = new ArrayList<>(WaitingTokens.PRIORITIES);
    private final Deque<Prompt> recent = new ArrayDeque<>();
    private final long[] tokens = new long[WaitingTokens.PRIORITIES];

    Engine() {
      for (int priority = 0; priority < WaitingTokens.PRIORITIES; priority++) {
        byPriority.add(new ArrayDeque<>());
      }
    }

    private void removeFirst(int priority) {
      tokens[priority] -= byPriority.get(priority).remove().tokens();
    }
  }

  private final Map<String, Engine> engines = new HashMap<>();

  /**
   * Records that a request is admitted to an engine.
   *
   * @param engine id of the engine
   * @param priority priority of the request
   * @param tokens prompt tokens that the engine has to compute
   * @param memoryTokens tokens of its memory that the request occupies
   * @param nowMillis monotonic time in milliseconds
   */
  public void record(String engine, int priority, long tokens, long memoryTokens, long nowMillis) {
    Engine admitted = engines.computeIfAbsent(engine, id -> new Engine());
    int index = WaitingTokens.index(priority);
    Prompt prompt = new Prompt(tokens, memoryTokens, nowMillis);
    admitted.byPriority.get(index).add(prompt);
    admitted.tokens[index] += tokens;
    admitted.recent.add(prompt);
  }

  /**
   * Returns the tokens that wait at an engine by priority.
   *
   * @param engine id of the engine
   * @param waitingTokens sum of the tokens that wait there, from the work of all nodes
   * @param nowMillis monotonic time in milliseconds
   */
  public WaitingTokens waiting(String engine, long waitingTokens, long nowMillis) {
    Engine admitted = engines.get(engine);
    if (admitted == null) {
      return WaitingTokens.urgent(waitingTokens);
    }
    long sum = 0;
    for (int priority = 0; priority < WaitingTokens.PRIORITIES; priority++) {
      Deque<Prompt> prompts = admitted.byPriority.get(priority);
      while (!prompts.isEmpty() && nowMillis - prompts.peek().atMillis() > MAX_WAIT_MILLIS) {
        admitted.removeFirst(priority);
      }
      sum += admitted.tokens[priority];
    }
    for (int priority = 0; priority < WaitingTokens.PRIORITIES; priority++) {
      Deque<Prompt> prompts = admitted.byPriority.get(priority);
      while (!prompts.isEmpty() && sum - prompts.peek().tokens() >= waitingTokens) {
        sum -= prompts.peek().tokens();
        admitted.removeFirst(priority);
      }
    }
    long[] tokens = admitted.tokens.clone();
    tokens[0] += Math.max(0, waitingTokens - sum);
    return WaitingTokens.of(tokens);
  }

  /** Returns the memory of admissions to an engine that its observed memory may not include. */
  public long unobservedMemory(String engine, long nowMillis) {
    Engine admitted = engines.get(engine);
    if (admitted == null) {
      return 0;
    }
    long sum = 0;
    admitted.recent.removeIf(prompt -> nowMillis - prompt.atMillis() > OBSERVATION_LAG_MILLIS);
    for (Prompt prompt : admitted.recent) {
      sum += prompt.memoryTokens();
    }
    return sum;
  }

  /** Drops the engines that are not among those given. */
  public void retain(Set<String> ids) {
    engines.keySet().retainAll(ids);
  }
}
