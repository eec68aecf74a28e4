package org.lockdale.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Writes one reply: at once, or as a stream. The first call that ends the reply takes effect; later
 * ones are ignored.
 */
public interface ReplyWriter {

  /** Sends a complete reply and ends it. */
  void reply(HttpReply reply);

  /** Writes the head of a streamed reply, without flushing it. */
  void startStream(int status, HttpHeaders headers);

  /** Sends a part of a streamed reply and releases the buffer. */
  void write(ByteBuf part);

  /** Ends a streamed reply as complete. */
  void endStream();

  /** Ends the reply so that its reader can tell that it is incomplete. */
  void abort();

  /** Returns the number of bytes that are queued for the reader. */
  long queuedBytes();
}
