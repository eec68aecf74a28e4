package org.lockdale.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Splits a stream of server-sent events into events without re-encoding them. Lines end with a line
 * feed, which a carriage return may precede. Bytes are copied only where an event spans several
 * parts; {@link #close} releases the copies. Not thread-safe.
 *
 * <p>Comments and other blocks without data and id are passed on like an event without id, those of
 * one part together. Before the first event they are held until it is complete, so that a stream of
 * comments has not started.
 */
public final class ServerSentEventDecoder implements AutoCloseable {

  /** Receives events. */
  @FunctionalInterface
  public interface EventListener {
    /**
     * Receives one event.
     *
     * @param id value of the event's id line, or {@link #NO_ID}
     * @param event the complete event with its terminating blank line; only valid during the call
     */
    void onEvent(long id, ByteBuf event);
  }

  /** Id of an event that has no id line or whose id is not a number. */
  public static final long NO_ID = -1;

  /** The event that ends a stream of the OpenAI API. */
  public static final String DONE = "data: [DONE]\n\n";

  private static final byte[] ID_PREFIX = "id:".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DONE_BYTES = DONE.getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DATA_PREFIX = "data:".getBytes(StandardCharsets.US_ASCII);

  private static final int MAX_EVENT_BYTES = 1024 * 1024;

  /** Bytes that may arrive between two events with data or an id. */
  private static final int MAX_BYTES_WITHOUT_DATA = 1024 * 1024;

  private static final int DECIMAL = 10;

  /** Result of {@link #blankLineEnd} for a line that is not blank. */
  private static final int NOT_BLANK = -1;

  /** Result of {@link #blankLineEnd} for a line of which too little has arrived. */
  private static final int UNDECIDED = -2;

  private final EventListener listener;
  private ByteBuf pending = Unpooled.EMPTY_BUFFER;
  private int scanned;

  /** Length of the blocks without data at the start of what is not decoded yet. */
  private int leadingBytes;

  private boolean started;
  private int bytesWithoutData;

  /** Creates a decoder that passes events to a listener. */
  public ServerSentEventDecoder(EventListener listener) {
    this.listener = listener;
  }

  /**
   * Decodes a part of the stream and passes the events that it completes to the listener.
   *
   * @throws IllegalArgumentException if an event exceeds 1 MiB before it is complete, or 1 MiB has
   *     arrived since the last event that carries data or an id
   */
  public void decode(ByteBuf part) {
    if (!pending.isReadable()) {
      scanned = 0;
      leadingBytes = 0;
      decodeFrom(part);
      retain(part);
    } else {
      pending.writeBytes(part);
      decodeFrom(pending);
      if (pending.refCnt() > 1) {
        replacePending();
      } else {
        pending.discardReadBytes();
      }
    }
    if (pending.readableBytes() > MAX_EVENT_BYTES) {
      throw new IllegalArgumentException("a server-sent event exceeds the size limit");
    }
  }

  /**
   * Moves the remainder to a buffer of its own. The listener has retained an event, which would be
   * overwritten in the former one.
   */
  private void replacePending() {
    ByteBuf former = pending;
    pending = former.alloc().buffer(Math.max(1, former.readableBytes()));
    pending.writeBytes(former);
    former.release();
  }

  private void retain(ByteBuf rest) {
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
      int start = buffer.readerIndex() + leadingBytes;
      if (carriesData(buffer, start, end)) {
        started = true;
        passLeading(buffer);
        bytesWithoutData = 0;
        ByteBuf event = buffer.readSlice(end - start);
        scanned = 0;
        listener.onEvent(idOf(event), event);
      } else {
        leadingBytes = end - buffer.readerIndex();
        scanned = leadingBytes;
      }
      end = findEnd(buffer);
    }
    if (started) {
      passLeading(buffer);
    }
  }

  /** Passes the blocks without data to the listener as one, since there may be very many. */
  private void passLeading(ByteBuf buffer) {
    if (leadingBytes == 0) {
      return;
    }
    bytesWithoutData += leadingBytes;
    if (bytesWithoutData > MAX_BYTES_WITHOUT_DATA) {
      throw new IllegalArgumentException(
          bytesWithoutData + " bytes arrived since the last server-sent event with data");
    }
    ByteBuf blocks = buffer.readSlice(leadingBytes);
    scanned -= leadingBytes;
    leadingBytes = 0;
    listener.onEvent(NO_ID, blocks);
  }

  /** Returns whether any line of a block is a data or id field. */
  private static boolean carriesData(ByteBuf buffer, int start, int end) {
    int line = start;
    while (line < end) {
      if (startsWith(buffer, line, end, DATA_PREFIX) || startsWith(buffer, line, end, ID_PREFIX)) {
        return true;
      }
      int newline = buffer.indexOf(line, end, (byte) '\n');
      line = newline < 0 ? end : newline + 1;
    }
    return false;
  }

  /** Returns the index after the next blank line, or -1. */
  private int findEnd(ByteBuf buffer) {
    int newline = buffer.indexOf(buffer.readerIndex() + scanned, buffer.writerIndex(), (byte) '\n');
    while (newline >= 0) {
      int end = blankLineEnd(buffer, newline + 1);
      if (end >= 0) {
        return end;
      }
      if (end == UNDECIDED) {
        // The next search starts at this newline again.
        scanned = newline - buffer.readerIndex();
        return -1;
      }
      newline = buffer.indexOf(newline + 1, buffer.writerIndex(), (byte) '\n');
    }
    scanned = buffer.readableBytes();
    return -1;
  }

  /** Returns the index after the line that starts at an index, if the line is blank. */
  private static int blankLineEnd(ByteBuf buffer, int start) {
    int next = start;
    if (next < buffer.writerIndex() && buffer.getByte(next) == '\r') {
      next++;
    }
    if (next >= buffer.writerIndex()) {
      return UNDECIDED;
    }
    return buffer.getByte(next) == '\n' ? next + 1 : NOT_BLANK;
  }

  /** Returns the numeric value of the first id line, or {@link #NO_ID}. */
  private static long idOf(ByteBuf event) {
    int line = event.readerIndex();
    while (line < event.writerIndex()) {
      int newline = event.indexOf(line, event.writerIndex(), (byte) '\n');
      int next = newline < 0 ? event.writerIndex() : newline;
      int lineEnd = next > line && event.getByte(next - 1) == '\r' ? next - 1 : next;
      if (startsWith(event, line, lineEnd, ID_PREFIX)) {
        return numberAt(event, line + ID_PREFIX.length, lineEnd);
      }
      line = next + 1;
    }
    return NO_ID;
  }

  /** Returns whether a line starts with a prefix and has more than that. */
  private static boolean startsWith(ByteBuf event, int start, int end, byte[] prefix) {
    if (end - start <= prefix.length) {
      return false;
    }
    for (int index = 0; index < prefix.length; index++) {
      if (event.getByte(start + index) != prefix[index]) {
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

  /** Returns whether an event equals {@link #DONE}. */
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

  /** Returns the event's text after its first {@code data:} field name, or an empty string. */
  public static String dataOf(ByteBuf event) {
    String text = event.toString(StandardCharsets.UTF_8);
    int start = text.indexOf("data: ");
    return start < 0 ? "" : text.substring(start + "data: ".length()).trim();
  }

  /** Returns whether no part of an event has arrived since the last blank line. */
  public boolean isBetweenEvents() {
    return pending.readableBytes() == leadingBytes;
  }

  /**
   * Returns the bytes after the last complete event; valid until {@link #decode} or {@link #close}.
   */
  public ByteBuf remainder() {
    return pending;
  }

  /** Releases the buffer of an incomplete event. */
  @Override
  public void close() {
    pending.release();
    pending = Unpooled.EMPTY_BUFFER;
  }
}
