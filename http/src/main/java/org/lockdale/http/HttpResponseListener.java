package org.lockdale.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives one reply part by part, on the call's event loop. No method is called after {@link
 * #onEnd} or {@link #onFailure}.
 */
public interface HttpResponseListener {

  /**
   * Returns whether the request may still be sent. Called when a connection is available, right
   * before the first byte is written. If false, the call fails at {@link
   * HttpCallException.Stage#NOT_SENT}.
   *
   * @param connectionAgeMillis age of the connection in milliseconds
   */
  default boolean maySend(long connectionAgeMillis) {
    return true;
  }

  /** Receives the status and the headers of the reply. */
  void onHead(int status, HttpHeaders headers);

  /** Receives a part of the body; the buffer is only valid during the call. */
  void onContent(ByteBuf content);

  /**
   * Returns whether a complete reply belongs to this call; called right before {@link #onEnd}. If
   * not, it is a surplus reply to an earlier call on the same connection: the listener drops what
   * it has received, and the call waits for the next reply.
   */
  default boolean acceptsComplete() {
    return true;
  }

  /** Called when the reply is complete. */
  void onEnd();

  /** Called when the call fails before its reply is complete. */
  void onFailure(HttpCallException failure);
}
