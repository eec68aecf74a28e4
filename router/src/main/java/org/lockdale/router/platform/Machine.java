package org.lockdale.router.platform;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Map;

/**
 * An entry of the platform's machine list.
 *
 * @param id machine id
 * @param role {@code engine} or {@code node}
 * @param zone zone
 * @param host IP address
 * @param port port of the machine's main service
 * @param state {@code live}, or {@code leaving} while the machine is draining and will be removed
 * @param labels labels of the machine, or null if the entry has none
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

  /** Returns whether the machine is draining and will be removed. */
  public boolean isLeaving() {
    return LEAVING.equals(state);
  }
}
