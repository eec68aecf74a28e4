package org.lockdale.gateway.table;

import java.util.Optional;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.configuration.OperatorRecord;

/** Port of what operators and back ends write into the shared store. */
public interface SharedRecords {

  /** Returns the name of the operators' table. */
  String operatorTable();

  /** Returns the name of the back ends' table. */
  String backendTable();

  /**
   * Reads a row of the operators' table.
   *
   * @return what the row says, or empty for a row of no interest
   * @throws MalformedRecordException if it can't be read
   */
  Optional<OperatorRecord> operatorRecord(TableRowChange row);

  /**
   * Reads the record of a back end.
   *
   * @throws MalformedRecordException if it can't be read
   */
  Backend backend(TableRowChange row);
}
