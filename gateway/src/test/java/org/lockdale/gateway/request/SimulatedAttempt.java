package org.lockdale.gateway.request;

import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.backend.AttemptPlan;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.quarantine.LostAttempt;
import org.lockdale.http.HttpReply;

/** An attempt whose backend does what the simulation chooses. */
final class SimulatedAttempt implements RunningAttempt {

  /** What may happen within {@link #start}. */
  private static final int IMMEDIATE_CASES = 6;

  final String name;
  private final SimulatedNode node;
  private final TrackedBackend target;
  private final AttemptPlan plan;
  private final Runnable onFirstEvent;
  private final BiConsumer<RunningAttempt, AttemptResult> onConcluded;
  private Runnable onEngineSilent = () -> {};
  private final SimulatedStream stream;
  private long sentAtMillis;
  private long receivedAtMillis;
  private long firstEventAtMillis = -1;
  private boolean started;
  private boolean sent;
  private boolean ended;

  SimulatedAttempt(
      String name,
      SimulatedNode node,
      TrackedBackend target,
      AttemptPlan plan,
      Runnable onFirstEvent,
      BiConsumer<RunningAttempt, AttemptResult> onConcluded) {
    this.name = name;
    this.node = node;
    this.target = target;
    this.plan = plan;
    this.onFirstEvent = onFirstEvent;
    this.onConcluded = onConcluded;
    this.stream = new SimulatedStream(name, node, plan.lastEventId());
  }

  @Override
  public void start() {
    node.invariants.sourceStarted(name);
    node.invariants.attemptStarted();
    started = true;
    stream.open();
    sentAtMillis = node.timers.nowMillis();
    receivedAtMillis = sentAtMillis;
    switch (node.choices.next(2, IMMEDIATE_CASES - 2)) {
      case 1 -> send();
      case 2 -> conclude(AttemptResult.NOT_SENT);
      case 3 -> conclude(AttemptResult.WITHDRAWN);
      case 4 -> {
        send();
        conclude(AttemptResult.FAILED);
      }
      case 5 -> {
        send();
        conclude(AttemptResult.NOT_RUN);
      }
      default -> {}
    }
  }

  boolean isLive() {
    return started && !ended;
  }

  boolean isSent() {
    return sent;
  }

  void send() {
    sent = true;
  }

  /** Receives the next event of a stream. */
  void receiveEvent() {
    receivedAtMillis = node.timers.nowMillis();
    stream.writeNext();
    if (firstEventAtMillis < 0) {
      firstEventAtMillis = receivedAtMillis;
      onFirstEvent.run();
    }
  }

  /** Ends the attempt; a result of an attempt that has ended is a late one. */
  void conclude(AttemptResult result) {
    node.invariants.trace(name + (ended ? " late " : " ends ") + result);
    if (!ended) {
      ended = true;
      if (result == AttemptResult.COMPLETE) {
        node.invariants.completed(name);
      }
      node.invariants.sourceEnded(name, sent && mayHaveRun(result));
    }
    onConcluded.accept(this, result);
  }

  private static boolean mayHaveRun(AttemptResult result) {
    return result == AttemptResult.COMPLETE
        || result == AttemptResult.FAILED
        || result == AttemptResult.BROKEN_OFF;
  }

  /** Reports that all nodes find the engine silent, perhaps after the end of the attempt. */
  void findEngineSilent() {
    node.invariants.trace(name + " engine silent");
    onEngineSilent.run();
  }

  @Override
  public boolean cancel() {
    if (ended || !started) {
      return false;
    }
    ended = true;
    node.invariants.sourceCancelled(name, sent);
    return sent;
  }

  @Override
  public void abandonWaiting(String reason) {
    if (!ended) {
      conclude(AttemptResult.FAILED);
    }
  }

  @Override
  public void onEngineSilent(Runnable action) {
    onEngineSilent = action;
  }

  @Override
  public boolean isWaiting() {
    return firstEventAtMillis < 0;
  }

  @Override
  public long silentMillis() {
    return node.timers.nowMillis() - receivedAtMillis;
  }

  @Override
  public boolean wasHeldUp() {
    return false;
  }

  @Override
  public LostAttempt.@Nullable Loss loss() {
    return null;
  }

  @Override
  public boolean responded() {
    return !isWaiting();
  }

  @Override
  public long responseMillis() {
    long since = node.scenario.isStream() ? firstEventAtMillis : sentAtMillis;
    return since < 0 ? 0 : node.timers.nowMillis() - since;
  }

  @Override
  public long responseSilentMillis() {
    return isWaiting() ? 0 : silentMillis();
  }

  @Override
  public long connectedAtMillis() {
    return sentAtMillis;
  }

  @Override
  public int connection() {
    return 0;
  }

  @Override
  public TrackedBackend target() {
    return target;
  }

  @Override
  public AttemptPlan plan() {
    return plan;
  }

  @Override
  public String failure() {
    return "it failed";
  }

  @Override
  public @Nullable HttpReply backendFailureReply() {
    return null;
  }
}
