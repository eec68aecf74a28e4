package org.lockdale.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;

/**
 * One request and its reply. A reply is either sent at once ({@link #reply}) or as a stream ({@link
 * #startStream}, {@link #write}, {@link #endStream}). Methods may be called from any thread. The
 * first call that ends the exchange takes effect; later ones are ignored.
 */
public final class HttpExchange implements ReplyWriter {

  /** Value of the linger option with which a close resets the connection. */
  private static final int RESET_ON_CLOSE = 0;

  /** Value of the linger option with which a close is orderly. */
  private static final int NO_LINGER = -1;

  private final Channel channel;
  private final HttpRequest request;
  private final byte[] body;

  /** Run once the reply is written to the socket, or can't be. */
  private final Runnable onWritten;

  private final HeldMemory.Account held;

  /** Whether the caller understands chunks; otherwise a stream ends with the connection. */
  private final boolean acceptsChunks;

  private volatile boolean keepAlive;
  private final long receivedNanos;
  private final AtomicBoolean ended = new AtomicBoolean();
  private final CompletableFuture<Void> disconnected = new CompletableFuture<>();
  private @Nullable Runnable writableListener;

  HttpExchange(
      Channel channel,
      HttpRequest request,
      byte[] body,
      long receivedNanos,
      HeldMemory.Account held,
      Runnable onWritten) {
    this.channel = channel;
    this.request = request;
    this.body = body;
    this.receivedNanos = receivedNanos;
    this.held = held;
    this.onWritten = onWritten;
    this.keepAlive = HttpUtil.isKeepAlive(request);
    this.acceptsChunks = request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
  }

  /** Returns the request method, such as {@code POST}. */
  public String method() {
    return request.method().name();
  }

  /** Returns the request target as sent, with its query. */
  public String uri() {
    return request.uri();
  }

  /** Returns the path without the query. */
  public String path() {
    int query = request.uri().indexOf('?');
    return query < 0 ? request.uri() : request.uri().substring(0, query);
  }

  /** Returns all request headers. */
  public HttpHeaders headers() {
    return request.headers();
  }

  /** Returns the value of a request header, or null if it is absent. */
  public @Nullable String header(CharSequence name) {
    return request.headers().get(name);
  }

  /** Returns the complete request body; empty if there is none. */
  public byte[] body() {
    return body;
  }

  /** Returns the time by {@link System#nanoTime} at which the request's head was read. */
  public long receivedNanos() {
    return receivedNanos;
  }

  /** Returns the event loop of the caller's connection. */
  public EventLoop eventLoop() {
    return channel.eventLoop();
  }

  /** Returns a future that completes if the caller disconnects before the exchange has ended. */
  public CompletableFuture<Void> disconnected() {
    return disconnected;
  }

  /**
   * Returns whether the caller's queue is below its marks: false from when it exceeds the high mark
   * until it has fallen below the low one.
   */
  public boolean isWritable() {
    return channel.isWritable();
  }

  /**
   * Sets what is run on the event loop each time the queue has fallen below its low mark. Must be
   * called on the event loop.
   *
   * @param listener the action, or null for none
   */
  public void onWritable(@Nullable Runnable listener) {
    writableListener = listener;
  }

  /** Returns the number of bytes that are queued for the caller's socket. */
  @Override
  public long queuedBytes() {
    return QueueMeter.queuedBytes(channel);
  }

  /** Returns the account of the bytes that are held for the caller. */
  public HeldMemory.Account held() {
    return held;
  }

  /** Closes the connection after this exchange; must be called before the reply starts. */
  public void closeAfterReply() {
    keepAlive = false;
  }

  /** Sends a complete reply and ends the exchange. */
  @Override
  public void reply(HttpReply reply) {
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    finish(channel.writeAndFlush(markConnection(reply.toResponse())));
  }

  /** Writes the head of a streamed reply, without flushing it. */
  @Override
  public void startStream(int status, HttpHeaders headers) {
    if (ended.get()) {
      return;
    }
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    response.headers().set(headers);
    if (acceptsChunks) {
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else {
      closeAfterReply();
      // Until the stream is complete, whoever closes the connection resets it.
      setLinger(RESET_ON_CLOSE);
    }
    channel.write(markConnection(response), channel.voidPromise());
  }

  /** Returns a buffer from the connection's allocator, to be passed to {@link #write}. */
  public ByteBuf allocate(int initialBytes) {
    return channel.alloc().buffer(initialBytes);
  }

  /** Flushes what was written so far to the socket. */
  public void flush() {
    if (!ended.get()) {
      channel.flush();
    }
  }

  /** Sends a part of a streamed reply and releases the buffer. */
  @Override
  public void write(ByteBuf part) {
    if (ended.get()) {
      part.release();
      return;
    }
    channel.writeAndFlush(new DefaultHttpContent(part), channel.voidPromise());
  }

  /** Ends a streamed reply as complete. */
  @Override
  public void endStream() {
    if (ended.compareAndSet(false, true)) {
      ChannelFuture written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
      if (!acceptsChunks) {
        written.addListener(
            future -> {
              if (future.isSuccess()) {
                setLinger(NO_LINGER);
              }
            });
      }
      finish(written);
    }
  }

  private void setLinger(int seconds) {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, seconds);
    }
  }

  /**
   * Closes the connection, so that the caller can tell that the reply is incomplete. Resets it if
   * an orderly close would look like the end of the reply.
   */
  @Override
  public void abort() {
    if (ended.compareAndSet(false, true)) {
      if (!acceptsChunks) {
        setLinger(RESET_ON_CLOSE);
      }
      // An empty write is queued behind all earlier ones, so these are still sent before the close.
      closeAfterReply();
      finish(channel.writeAndFlush(Unpooled.EMPTY_BUFFER));
    }
  }

  void becameWritable() {
    Runnable listener = writableListener;
    if (listener != null) {
      listener.run();
    }
  }

  void connectionClosed() {
    if (!ended.get()) {
      disconnected.complete(null);
    }
  }

  private HttpResponse markConnection(HttpResponse response) {
    HttpUtil.setKeepAlive(response, keepAlive);
    return response;
  }

  private void finish(ChannelFuture written) {
    if (!keepAlive) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
    written.addListener(future -> onWritten.run());
  }
}
