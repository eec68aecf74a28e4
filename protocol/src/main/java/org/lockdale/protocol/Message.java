package org.lockdale.protocol;

import java.io.IOException;
import org.apache.avro.io.Encoder;

/** A message with an Avro schema, which writes itself in Avro's binary encoding. */
public interface Message {

  /** Writes the fields in the order of the schema. */
  void writeTo(Encoder out) throws IOException;
}
