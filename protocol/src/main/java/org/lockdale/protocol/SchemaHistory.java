package org.lockdale.protocol;

import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.avro.Schema;
import org.apache.avro.SchemaNormalization;

/** The versions of the schema of a message type whose encodings can be read. */
public final class SchemaHistory {

  private final Map<Long, Schema> byFingerprint;

  private SchemaHistory(Map<Long, Schema> byFingerprint) {
    this.byFingerprint = byFingerprint;
  }

  /** Returns a history with the given schemas. */
  public static SchemaHistory of(Schema... schemas) {
    Map<Long, Schema> byFingerprint = new LinkedHashMap<>();
    for (Schema schema : schemas) {
      byFingerprint.put(SchemaNormalization.parsingFingerprint64(schema), schema);
    }
    return new SchemaHistory(Map.copyOf(byFingerprint));
  }

  /**
   * Returns the schema with a fingerprint.
   *
   * @throws MessageFormatException if there is none
   */
  Schema find(long fingerprint) {
    Schema schema = byFingerprint.get(fingerprint);
    if (schema == null) {
      throw MessageFormatException.unknownSchema(fingerprint);
    }
    return schema;
  }
}
