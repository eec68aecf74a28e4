package org.lockdale.coordination.membership;

/** Receives changes of the member table, on the thread that drives the state machine. */
@FunctionalInterface
public interface MembershipListener {

  /** Called after a member was added or its known state was replaced. */
  void memberChanged(Member member);
}
