package org.lockdale.router.blackboard;

/** Phase in the life of a node. */
public enum NodePhase {
  /** No configuration or engine is known yet. */
  STARTING,
  /** Requests are served. */
  SERVING,
  /** Open requests are finished, new ones refused. */
  STOPPING
}
