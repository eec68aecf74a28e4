package org.lockdale.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Assembles the parts of each request, enforces the server's limits, and passes complete requests
 * to the handler. Requests of one connection are handled one at a time, so that their replies are
 * sent in order.
 */
final class RequestAssembler extends SimpleChannelInboundHandler<HttpObject> {

  /** Maximum number of complete requests that wait on a connection for the active one. */
  private static final int MAX_PIPELINED_REQUESTS = 8;

  private final HttpServerSettings settings;
  private final HttpHandler handler;
  private final HeldMemory.Account held;
  private final AtomicInteger busyConnections;
  private final Deque<HttpExchange> pipelined = new ArrayDeque<>();
  private @Nullable HttpExchange active;
  private @Nullable HttpRequest head;

  /** Bytes that are reserved for the head of the request that is being received. */
  private int headBytes;

  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private @Nullable ScheduledFuture<?> requestTimeout;
  private long receivedNanos;

  /** Time by {@link System#nanoTime} since which no request has been in progress. */
  private long idleSinceNanos = System.nanoTime();

  private boolean rejected;

  /** Whether this connection is counted in {@link #busyConnections}. */
  private boolean busy;

  /**
   * Creates the handler of one connection.
   *
   * @param settings limits of the server
   * @param handler serves the requests
   * @param held counts the bytes that the connection holds
   * @param busyConnections the server's count of connections with requests that are being received,
   *     or whose replies have not been written in full
   */
  RequestAssembler(
      HttpServerSettings settings,
      HttpHandler handler,
      HeldMemory.Account held,
      AtomicInteger busyConnections) {
    this.settings = settings;
    this.handler = handler;
    this.held = held;
    this.busyConnections = busyConnections;
  }

  /**
   * Returns whether no request is being received, handled or waiting, and no reply is being
   * written. Must be called on the connection's event loop.
   */
  boolean isIdle() {
    return active == null && head == null && pipelined.isEmpty();
  }

  /**
   * Returns whether it has been {@linkplain #isIdle idle} for a time, counted from its start or its
   * last reply.
   */
  boolean isIdleFor(Duration duration) {
    return isIdle() && System.nanoTime() - idleSinceNanos >= duration.toNanos();
  }

  /** Counts this connection as busy while it is open and not idle. */
  private void updateBusy(ChannelHandlerContext context) {
    boolean now = context.channel().isActive() && !isIdle();
    if (now != busy) {
      busy = now;
      busyConnections.addAndGet(now ? 1 : -1);
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
    if (rejected) {
      return;
    }
    if (part.decoderResult().isFailure()) {
      reject(context, errorOf(part.decoderResult()));
      return;
    }
    if (part instanceof HttpRequest request) {
      startRequest(context, request);
    }
    if (part instanceof HttpContent content && !rejected) {
      append(context, content.content());
      if (part instanceof LastHttpContent && !rejected) {
        complete(context);
      }
    }
  }

  private void startRequest(ChannelHandlerContext context, HttpRequest request) {
    head = request;
    receivedNanos = System.nanoTime();
    updateBusy(context);
    if (request.method().equals(HttpMethod.CONNECT)) {
      reject(context, HttpProtocolError.METHOD_NOT_SUPPORTED);
      return;
    }
    if (HttpUtil.getContentLength(request, 0L) > settings.maxBodyBytes()) {
      reject(context, HttpProtocolError.BODY_TOO_LARGE);
      return;
    }
    if (!reserveHead(request)) {
      reject(context, HttpProtocolError.NO_MEMORY);
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
    requestTimeout =
        context
            .executor()
            .schedule(
                () -> reject(context, HttpProtocolError.REQUEST_TIMEOUT),
                settings.requestTimeout().toMillis(),
                TimeUnit.MILLISECONDS);
  }

  private boolean reserveHead(HttpRequest request) {
    int bytes = HeadSize.countedBytes(request);
    if (bytes > 0 && !held.tryReserveRequest(bytes)) {
      return false;
    }
    headBytes = bytes;
    return true;
  }

  private void append(ChannelHandlerContext context, ByteBuf content) {
    if (!content.isReadable()) {
      return;
    }
    if (body.readableBytes() + content.readableBytes() > settings.maxBodyBytes()) {
      reject(context, HttpProtocolError.BODY_TOO_LARGE);
      return;
    }
    if (!held.tryReserveRequest(content.readableBytes())) {
      reject(context, HttpProtocolError.NO_MEMORY);
      return;
    }
    if (body == Unpooled.EMPTY_BUFFER) {
      body = context.alloc().buffer(content.readableBytes());
    }
    body.writeBytes(content);
  }

  private void complete(ChannelHandlerContext context) {
    cancelTimeout();
    byte[] bytes = new byte[body.readableBytes()];
    body.readBytes(bytes);
    releaseBody();
    HttpRequest request = head;
    int reserved = headBytes + bytes.length;
    head = null;
    headBytes = 0;
    if (request == null) {
      return;
    }
    HttpExchange exchange =
        new HttpExchange(
            context.channel(),
            request,
            bytes,
            receivedNanos,
            held,
            () -> exchangeEnded(context, reserved));
    if (active == null) {
      active = exchange;
      context.executor().execute(() -> dispatchIfOpen(context, exchange));
    } else if (pipelined.size() < MAX_PIPELINED_REQUESTS) {
      pipelined.add(exchange);
    } else {
      context.close();
    }
    updateBusy(context);
  }

  /**
   * Dispatches a request unless its caller has closed the connection. A close is read right after
   * the caller's last request, so this is run only after the socket has been read until empty: a
   * request whose caller has already disconnected is not handled.
   */
  private void dispatchIfOpen(ChannelHandlerContext context, HttpExchange exchange) {
    if (context.channel().isActive()) {
      dispatch(exchange);
    }
  }

  private void dispatch(HttpExchange exchange) {
    active = exchange;
    try {
      handler.handle(exchange);
    } catch (RuntimeException | Error failure) {
      // Aborted first, because a log entry may fail as well once the memory is used up.
      exchange.abort();
      Logger.error(failure, "event=handler-failed path={}", exchange.path());
    }
  }

  private void exchangeEnded(ChannelHandlerContext context, int reserved) {
    if (!context.executor().inEventLoop()) {
      context.executor().execute(() -> exchangeEnded(context, reserved));
      return;
    }
    if (reserved > 0) {
      held.release(reserved);
    }
    active = null;
    idleSinceNanos = System.nanoTime();
    HttpExchange next = pipelined.poll();
    if (next != null && context.channel().isActive()) {
      dispatch(next);
    }
    updateBusy(context);
  }

  private void reject(ChannelHandlerContext context, HttpProtocolError error) {
    rejected = true;
    cancelTimeout();
    held.release(body.readableBytes() + headBytes);
    headBytes = 0;
    releaseBody();
    if (active != null) {
      context.close();
      return;
    }
    FullHttpResponse response = handler.renderProtocolError(error).toResponse();
    HttpUtil.setKeepAlive(response, false);
    context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  private static HttpProtocolError errorOf(DecoderResult result) {
    boolean tooLong =
        result.cause() instanceof TooLongHttpHeaderException
            || result.cause() instanceof TooLongHttpLineException;
    return tooLong ? HttpProtocolError.HEADERS_TOO_LARGE : HttpProtocolError.MALFORMED_REQUEST;
  }

  private void cancelTimeout() {
    if (requestTimeout != null) {
      requestTimeout.cancel(false);
      requestTimeout = null;
    }
  }

  private void releaseBody() {
    body.release();
    body = Unpooled.EMPTY_BUFFER;
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    HttpExchange current = active;
    if (current != null && context.channel().isWritable()) {
      current.becameWritable();
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof IdleStateEvent && active == null && head == null) {
      context.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    cancelTimeout();
    releaseBody();
    pipelined.clear();
    if (active != null) {
      active.connectionClosed();
    }
    updateBusy(context);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    Logger.debug("event=connection-failed cause={}", cause.toString());
    context.close();
  }
}
