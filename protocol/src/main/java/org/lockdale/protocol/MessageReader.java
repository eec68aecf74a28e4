package org.lockdale.protocol;

import java.io.IOException;
import org.apache.avro.io.Decoder;

/**
 * Reads one type of message.
 *
 * @param <T> generated class of the message
 */
@FunctionalInterface
public interface MessageReader<T extends Message> {

  /**
   * Reads a message that was written with the schema of its class.
   *
   * @throws IOException if the message is damaged
   */
  T read(Decoder in) throws IOException;
}
