package org.lockdale.coordination.membership;

/** Hears of changes of the member table, on the thread that drives the state machine. */
@FunctionalInterface
public interface MembershipListener {

  /** Called after a member was added or its belief replaced. */
  void memberChanged(Member member);
}
