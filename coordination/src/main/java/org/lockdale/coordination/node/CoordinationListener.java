package org.lockdale.coordination.node;

import org.lockdale.coordination.configuration.ConfigurationState;
import org.lockdale.coordination.membership.Member;

/** Hears of what a {@link CoordinationNode} learns, on the thread that drives it. */
public interface CoordinationListener {

  /** Called after a member was added or its belief replaced. */
  void memberChanged(Member member);

  /** Called after a newer configuration came into force at this node. */
  void configurationChanged(ConfigurationState state);
}
