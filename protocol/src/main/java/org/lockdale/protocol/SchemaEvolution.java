package org.lockdale.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericDatumReader;
import org.apache.avro.generic.GenericDatumWriter;
import org.apache.avro.generic.GenericRecord;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.Decoder;
import org.apache.avro.io.EncoderFactory;

/**
 * Converts messages of other schema versions to the current schema, by Avro's schema resolution.
 */
final class SchemaEvolution {

  private final Schema current;
  private final SchemaHistory history;

  SchemaEvolution(Schema current, SchemaHistory history) {
    this.current = current;
    this.history = history;
  }

  /**
   * Returns a message in the encoding of the current schema, without fingerprint.
   *
   * @param writerFingerprint fingerprint of the schema with which the message was written
   * @param message the message after its fingerprint
   * @throws IOException if the message is damaged
   * @throws MessageFormatException if the schema is unknown
   */
  byte[] toCurrent(long writerFingerprint, Decoder message) throws IOException {
    Schema writer = history.find(writerFingerprint);
    GenericRecord record =
        new GenericDatumReader<GenericRecord>(writer, current).read(null, message);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    BinaryEncoder encoder = EncoderFactory.get().directBinaryEncoder(bytes, null);
    new GenericDatumWriter<GenericRecord>(current).write(record, encoder);
    encoder.flush();
    return bytes.toByteArray();
  }
}
