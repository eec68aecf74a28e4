package org.lockdale.router.platform;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Map;

/**
 * A machine on the platform's list.
 *
 * @param id machine id
 * @param role {@code engine} or {@code node}
 * @param zone zone
 * @param host IP address
 * @param port port of the machine's main service
 * @param state {@code live} or {@code leaving}
 * @param labels labels of the machine
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record Machine(
    String id,
    String role,
    String zone,
    String host,
    int port,
    String state,
    Map<String, String> labels) {

  private static final String ENGINE = "engine";
  private static final String LEAVING = "leaving";

  /** Returns whether the machine is a model engine. */
  public boolean isEngine() {
    return ENGINE.equals(role);
  }

  /** Returns whether the machine is about to go. */
  public boolean isLeaving() {
    return LEAVING.equals(state);
  }
}
