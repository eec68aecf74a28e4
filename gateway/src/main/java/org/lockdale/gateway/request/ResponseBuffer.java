package org.lockdale.gateway.request;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.backend.ResponseHead;
import org.lockdale.http.HeldMemory;
import org.lockdale.http.HttpReply;

/**
 * Buffers a plain response until it is complete, within the size limit of a response and the bound
 * of the node. Confined to the event loop of the caller's connection.
 */
final class ResponseBuffer {

  private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

  private final HeldMemory.Account held;
  private ByteArrayOutputStream body = new ByteArrayOutputStream();
  private long reserved;
  private boolean outOfMemory;

  /**
   * Creates an empty buffer.
   *
   * @param held counts the bytes
   */
  ResponseBuffer(HeldMemory.Account held) {
    this.held = held;
  }

  /**
   * Appends a part of the response.
   *
   * @return the reason for which it can't be buffered, or null if it was
   */
  @Nullable String append(ByteBuf content) {
    int length = content.readableBytes();
    if (body.size() + length > MAX_RESPONSE_BYTES) {
      return "its response exceeds the size limit";
    }
    if (!held.tryReserveResponse(length)) {
      outOfMemory = true;
      return "this node holds as many bytes as it may; raise node.memory or flow.held-share";
    }
    reserved += length;
    byte[] part = new byte[length];
    content.readBytes(part);
    body.writeBytes(part);
    return null;
  }

  /** Returns whether a part found no room in the memory of this node. */
  boolean isOutOfMemory() {
    return outOfMemory;
  }

  /** Returns a reply with the head of the response and the bytes that were appended. */
  HttpReply replyWith(ResponseHead head) {
    return new HttpReply(head.status(), head.headers(), body.toByteArray());
  }

  /**
   * Returns the complete response and counts it no longer. Must be called just before it is sent:
   * from then on it counts as queued for the caller.
   */
  byte[] take() {
    release();
    byte[] complete = body.toByteArray();
    // The attempt stays reachable while the caller reads, and must not keep a second copy.
    body = new ByteArrayOutputStream(0);
    return complete;
  }

  /** Counts the bytes no longer. Must be called when the response was given up. */
  void release() {
    held.release(reserved);
    reserved = 0;
  }
}
