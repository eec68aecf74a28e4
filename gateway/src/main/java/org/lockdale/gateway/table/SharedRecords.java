package org.lockdale.gateway.table;

import java.util.Map;
import java.util.Optional;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.configuration.GatewayConfiguration;

/** Port of what operators and back ends write into the shared store. */
public interface SharedRecords {

  /** Returns the name of the operators' table. */
  String operatorTable();

  /** Returns the name of the back ends' table. */
  String backendTable();

  /**
   * Reads the configuration.
   *
   * @param rows rows of the operators' table
   * @return the configuration, or empty where there is none
   * @throws MalformedRecordException if it can't be read
   */
  Optional<GatewayConfiguration> configuration(Map<String, TableRowChange> rows);

  /**
   * Reads the newest version of weights that was named for each model.
   *
   * @param rows rows of the operators' table
   * @throws MalformedRecordException if they can't be read
   */
  Map<String, Long> weights(Map<String, TableRowChange> rows);

  /**
   * Reads the record of a back end.
   *
   * @throws MalformedRecordException if it can't be read
   */
  Backend backend(TableRowChange row);
}
