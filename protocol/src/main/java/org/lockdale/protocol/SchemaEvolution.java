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

/** Rewrites messages of other versions of a schema as the current one, by Avro's resolution. */
final class SchemaEvolution {

  private final Schema current;
  private final SchemaHistory history;

  SchemaEvolution(Schema current, SchemaHistory history) {
    this.current = current;
    this.history = history;
  }

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
