package org.lockdale.protocol;

import java.io.IOException;
import org.apache.avro.io.Encoder;

/** A message of an Avro schema that can write itself in the binary encoding of Avro. */
public interface Message {

  /**
   * Writes the fields in the order of the schema.
   *
   * @throws IOException if the encoder can't write
   */
  void writeTo(Encoder out) throws IOException;
}
