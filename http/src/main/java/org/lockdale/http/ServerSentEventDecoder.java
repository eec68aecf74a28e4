package org.lockdale.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Splits a stream of server-sent events into events without copying or re-encoding them. Release it
 * with {@link #close}. Not safe for use by several threads.
 */
public final class ServerSentEventDecoder implements AutoCloseable {

  /** Receives events. */
  @FunctionalInterface
  public interface EventListener {
    /**
     * Receives one event.
     *
     * @param id value of the event's id line, or {@link #NO_ID}
     * @param event the whole event with its closing blank line; only valid during the call
     */
    void onEvent(long id, ByteBuf event);
  }

  /** Id of an event without an id line. */
  public static final long NO_ID = -1;

  /** The data line that ends a stream of OpenAI's interface. */
  public static final String DONE = "data: [DONE]\n\n";

  private static final byte[] ID_PREFIX = "id:".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DONE_BYTES = DONE.getBytes(StandardCharsets.US_ASCII);
  private static final int MAX_EVENT_BYTES = 1024 * 1024;
  private static final int DECIMAL = 10;

  private final EventListener listener;
  private ByteBuf pending = Unpooled.EMPTY_BUFFER;
  private int scanned;

  /** Creates a decoder that hands events to a listener. */
  public ServerSentEventDecoder(EventListener listener) {
    this.listener = listener;
  }

  /**
   * Takes in a part of the stream and hands on the events it completes.
   *
   * @throws IllegalArgumentException if an event is over the size limit
   */
  public void decode(ByteBuf part) {
    if (!pending.isReadable()) {
      scanned = 0;
      decodeFrom(part);
      keep(part);
    } else {
      pending.writeBytes(part);
      decodeFrom(pending);
      pending.discardReadBytes();
    }
    if (pending.readableBytes() > MAX_EVENT_BYTES) {
      throw new IllegalArgumentException("an event of the engine's stream is over the limit");
    }
  }

  private void keep(ByteBuf rest) {
    if (!rest.isReadable()) {
      return;
    }
    if (pending == Unpooled.EMPTY_BUFFER) {
      pending = rest.alloc().buffer(rest.readableBytes());
    }
    pending.clear();
    pending.writeBytes(rest);
  }

  private void decodeFrom(ByteBuf buffer) {
    int end = findEnd(buffer);
    while (end >= 0) {
      ByteBuf event = buffer.readSlice(end - buffer.readerIndex());
      scanned = 0;
      listener.onEvent(idOf(event), event);
      end = findEnd(buffer);
    }
  }

  /** Returns the index after the next blank line, or -1. */
  private int findEnd(ByteBuf buffer) {
    int from = buffer.readerIndex() + scanned;
    while (true) {
      int newline = buffer.indexOf(from, buffer.writerIndex(), (byte) '\n');
      if (newline < 0 || newline + 1 >= buffer.writerIndex()) {
        // The next search starts at this newline again, since its neighbour is still to come.
        int resume = newline < 0 ? buffer.writerIndex() : newline;
        scanned = resume - buffer.readerIndex();
        return -1;
      }
      if (buffer.getByte(newline + 1) == '\n') {
        return newline + 2;
      }
      from = newline + 1;
    }
  }

  /** Returns the value of the first line that begins with the id field. */
  private static long idOf(ByteBuf event) {
    int line = event.readerIndex();
    while (line < event.writerIndex()) {
      int end = event.indexOf(line, event.writerIndex(), (byte) '\n');
      int lineEnd = end < 0 ? event.writerIndex() : end;
      if (startsWithId(event, line, lineEnd)) {
        return numberAt(event, line + ID_PREFIX.length, lineEnd);
      }
      line = lineEnd + 1;
    }
    return NO_ID;
  }

  private static boolean startsWithId(ByteBuf event, int start, int end) {
    if (end - start <= ID_PREFIX.length) {
      return false;
    }
    for (int index = 0; index < ID_PREFIX.length; index++) {
      if (event.getByte(start + index) != ID_PREFIX[index]) {
        return false;
      }
    }
    return true;
  }

  private static long numberAt(ByteBuf event, int start, int end) {
    long number = 0;
    for (int index = start; index < end; index++) {
      int digit = event.getByte(index) - '0';
      if (index == start && event.getByte(index) == ' ' && end - start > 1) {
        continue;
      }
      if (digit < 0 || digit >= DECIMAL) {
        return NO_ID;
      }
      number = number * DECIMAL + digit;
    }
    return number;
  }

  /** Returns whether an event is the one that ends a stream. */
  public static boolean isDone(ByteBuf event) {
    if (event.readableBytes() != DONE_BYTES.length) {
      return false;
    }
    for (int index = 0; index < DONE_BYTES.length; index++) {
      if (event.getByte(event.readerIndex() + index) != DONE_BYTES[index]) {
        return false;
      }
    }
    return true;
  }

  /** Returns the text of the event's data line without its name. */
  public static String dataOf(ByteBuf event) {
    String text = event.toString(StandardCharsets.UTF_8);
    int start = text.indexOf("data: ");
    return start < 0 ? "" : text.substring(start + "data: ".length()).trim();
  }

  /** Returns the bytes after the last whole event; they stay until {@link #close}. */
  public ByteBuf remainder() {
    return pending;
  }

  /** Releases what is held of an unfinished event. */
  @Override
  public void close() {
    pending.release();
    pending = Unpooled.EMPTY_BUFFER;
  }
}
