package org.lockdale.gateway.table;

import java.util.Optional;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.configuration.OperatorRecord;

/** Port for parsing the rows that operators and backends write into the shared store. */
public interface SharedRecords {

  /** Returns the name of the operators' table. */
  String operatorTable();

  /** Returns the name of the backends' table. */
  String backendTable();

  /**
   * Parses a row of the operators' table.
   *
   * @return the record, or empty for a row of another kind
   * @throws MalformedRecordException if the row can't be parsed
   */
  Optional<OperatorRecord> operatorRecord(TableRowChange row);

  /**
   * Parses a row of the backends' table.
   *
   * @throws MalformedRecordException if the row can't be parsed
   */
  Backend backend(TableRowChange row);
}
