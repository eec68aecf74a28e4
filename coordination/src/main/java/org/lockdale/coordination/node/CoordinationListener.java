package org.lockdale.coordination.node;

import org.lockdale.coordination.configuration.ConfigurationState;
import org.lockdale.coordination.membership.Member;

/** Receives the state changes of a {@link CoordinationNode}, on the thread that drives it. */
public interface CoordinationListener {

  /** Called after a member was added or its known state was replaced. */
  void memberChanged(Member member);

  /** Called after a newer configuration took effect at this node. */
  void configurationChanged(ConfigurationState state);
}
