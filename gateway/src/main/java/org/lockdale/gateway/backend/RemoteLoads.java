package org.lockdale.gateway.backend;

/** Port by which the work of other nodes at back ends is known. */
@FunctionalInterface
public interface RemoteLoads {

  /** Returns the work of other nodes at a back end. */
  BackendWork at(String engine);
}
