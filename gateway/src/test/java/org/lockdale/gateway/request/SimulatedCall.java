package org.lockdale.gateway.request;

import java.util.function.Consumer;

/** A call to another node, which does what the simulation chooses. */
final class SimulatedCall implements PeerCalls.Call {

  /** What may happen within {@link #start}. */
  private static final int IMMEDIATE_CASES = 4;

  final String name;
  private final SimulatedNode node;
  private final Consumer<ForwardedCall.Result> onResult;
  private final SimulatedStream stream;
  private boolean started;
  private boolean sent;
  private boolean written;
  private boolean ended;

  SimulatedCall(String name, SimulatedNode node, Consumer<ForwardedCall.Result> onResult) {
    this.name = name;
    this.node = node;
    this.onResult = onResult;
    this.stream = new SimulatedStream(name, node, node.state.request.lastEventId());
  }

  @Override
  public void start() {
    node.invariants.sourceStarted(name);
    started = true;
    stream.open();
    switch (node.choices.next(2, IMMEDIATE_CASES - 2)) {
      case 1 -> send();
      case 2 -> end(new ForwardedCall.Result.NotServed("not connected"));
      case 3 -> {
        send();
        end(new ForwardedCall.Result.Lost("reset"));
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

  boolean hasWritten() {
    return written;
  }

  void send() {
    sent = true;
  }

  /** Passes on the next event of a stream. */
  void receiveEvent() {
    written = true;
    stream.writeNext();
  }

  /** Ends the call; a result of a call that has ended is a late one. */
  void end(ForwardedCall.Result result) {
    node.invariants.trace(name + (ended ? " late " : " ends ") + result);
    if (!ended) {
      ended = true;
      boolean refused = result instanceof ForwardedCall.Result.Refused;
      if (result instanceof ForwardedCall.Result.Served || refused) {
        node.invariants.completed(name);
      }
      boolean notServed = result instanceof ForwardedCall.Result.NotServed;
      node.invariants.sourceEnded(name, sent && !refused && !notServed);
    }
    onResult.accept(result);
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
}
