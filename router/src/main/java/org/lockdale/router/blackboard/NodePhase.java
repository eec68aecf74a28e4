package org.lockdale.router.blackboard;

/** Phase of the life cycle of a node. */
public enum NodePhase {
  /** The configuration or the engines are not known yet. */
  STARTING,
  /** The node serves requests. */
  SERVING,
  /** The node finishes open requests and rejects new ones. */
  STOPPING
}
