package org.lockdale.gateway.backend;

/** Port through which the work of other nodes at backends is obtained. */
@FunctionalInterface
public interface RemoteLoads {

  /**
   * Returns the work of other nodes at a backend, as far as they have reported it.
   *
   * @param backend id of the backend
   */
  BackendWork at(String backend);
}
