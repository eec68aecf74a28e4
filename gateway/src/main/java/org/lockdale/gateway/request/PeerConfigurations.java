package org.lockdale.gateway.request;

import org.lockdale.gateway.cluster.PeerNode;

/**
 * Receives the versions of the configurations by which other nodes have handled requests of this
 * node. Thread-safe.
 */
@FunctionalInterface
public interface PeerConfigurations {

  /** Records the version of the configuration by which a node has handled a request. */
  void observe(PeerNode peer, long version);
}
