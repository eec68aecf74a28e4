package org.lockdale.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** An HTTP/1.1 client with pooled connections, each of which carries one exchange at a time. */
public final class HttpClient {

  /**
   * Time for which a probe waits to see whether the peer closes a new connection, in milliseconds.
   * A proxy finds out within a round trip that no process listens behind it; one that first looks
   * up whose connection it is takes longer, especially on a loaded machine.
   */
  private static final long CLOSE_DETECTION_MILLIS = 250;

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final int MAX_REPLY_BYTES = 64 * 1024 * 1024;

  /** Receives the sizes of each exchange that ended with a complete reply. */
  @FunctionalInterface
  public interface ExchangeListener {

    /** Ignores all exchanges. */
    ExchangeListener NONE = (path, sentBytes, receivedBytes) -> {};

    /**
     * Called after an exchange, on any thread.
     *
     * @param path path of the request with its query
     * @param sentBytes bytes of the request's body
     * @param receivedBytes bytes of the reply's body
     */
    void onExchange(String path, long sentBytes, long receivedBytes);
  }

  private final EventLoopGroup group;
  private final ConnectionPool pool;
  private final ExchangeListener exchangeListener;

  /**
   * Creates a client.
   *
   * @param group event loops for calls that specify none
   */
  public HttpClient(EventLoopGroup group) {
    this(group, CONNECT_TIMEOUT);
  }

  /**
   * Creates a client.
   *
   * @param group event loops for calls that specify none
   * @param connectTimeout maximum time to establish a connection
   */
  public HttpClient(EventLoopGroup group, Duration connectTimeout) {
    this(group, new ConnectionPool(connectTimeout));
  }

  /**
   * Creates a client.
   *
   * @param group event loops for calls that specify none
   * @param connectTimeout maximum time to establish a connection
   * @param exchangeListener notified of each completed {@link #exchange}
   */
  public HttpClient(
      EventLoopGroup group, Duration connectTimeout, ExchangeListener exchangeListener) {
    this(group, new ConnectionPool(connectTimeout), exchangeListener);
  }

  /**
   * Creates a client.
   *
   * @param group event loops for calls that specify none
   * @param connectTimeout maximum time to establish a connection
   * @param exchangeListener notified of each completed {@link #exchange}
   * @param surplusReplies notified of replies that were not due
   */
  public HttpClient(
      EventLoopGroup group,
      Duration connectTimeout,
      ExchangeListener exchangeListener,
      SurplusReply.Listener surplusReplies) {
    this(group, new ConnectionPool(connectTimeout, surplusReplies), exchangeListener);
  }

  /**
   * Creates a client.
   *
   * @param group event loops for calls that specify none
   * @param pool connections to use
   */
  HttpClient(EventLoopGroup group, ConnectionPool pool) {
    this(group, pool, ExchangeListener.NONE);
  }

  private HttpClient(EventLoopGroup group, ConnectionPool pool, ExchangeListener exchangeListener) {
    this.group = group;
    this.pool = pool;
    this.exchangeListener = exchangeListener;
  }

  /**
   * Sends a request and passes the reply to a listener part by part.
   *
   * @param eventLoop the event loop that carries the call and calls the listener
   * @param address peer
   * @param request what to send
   * @param listener receives the reply
   * @return the call, which can be cancelled
   */
  public HttpCall send(
      EventLoop eventLoop,
      InetSocketAddress address,
      HttpRequestMessage request,
      HttpResponseListener listener) {
    return send(eventLoop, address, request, listener, Integer.MAX_VALUE);
  }

  /**
   * Sends a request as {@link #send(EventLoop, InetSocketAddress, HttpRequestMessage,
   * HttpResponseListener)} does, unless that would exceed a limit of connections to the peer. In
   * that case the call fails, and {@link HttpCallException#isAtConnectionLimit} is true.
   *
   * @param eventLoop the event loop that carries the call and calls the listener
   * @param address peer
   * @param request what to send
   * @param listener receives the reply
   * @param maxConnections maximum number of open connections to the peer, including idle ones
   * @return the call, which can be cancelled
   */
  public HttpCall send(
      EventLoop eventLoop,
      InetSocketAddress address,
      HttpRequestMessage request,
      HttpResponseListener listener,
      int maxConnections) {
    HttpCall call = new HttpCall();
    sendOverPool(eventLoop, address, request, call, listener, maxConnections);
    return call;
  }

  private void sendOverPool(
      EventLoop eventLoop,
      InetSocketAddress address,
      HttpRequestMessage request,
      HttpCall call,
      HttpResponseListener listener,
      int maxConnections) {
    pool.acquire(eventLoop, address, request.echoedId(), maxConnections)
        .addListener(
            (Future<Channel> acquired) -> {
              if (acquired.isSuccess()) {
                write(acquired.getNow(), address, request, call, listener, maxConnections);
              } else if (call.tryEnd()) {
                listener.onFailure(notSent(acquired.cause()));
              }
            });
  }

  private static HttpCallException notSent(Throwable cause) {
    return cause instanceof HttpCallException known
        ? known
        : new HttpCallException(HttpCallException.Stage.NOT_SENT, cause.getMessage());
  }

  private void write(
      Channel channel,
      InetSocketAddress address,
      HttpRequestMessage request,
      HttpCall call,
      HttpResponseListener listener,
      int maxConnections) {
    if (call.hasEnded()) {
      pool.release(channel, address);
      return;
    }
    if (!channel.isActive()) {
      // The pool handed it out to another thread just before this event loop closed it.
      sendOverPool(channel.eventLoop(), address, request, call, listener, maxConnections);
      return;
    }
    if (!listener.maySend(ConnectionPool.ageMillis(channel))) {
      pool.release(channel, address);
      if (call.tryEnd()) {
        listener.onFailure(
            new HttpCallException(
                HttpCallException.Stage.NOT_SENT, "the request was withdrawn before it was sent"));
      }
      return;
    }
    call.attach(channel);
    ResponseReader reader = channel.pipeline().get(ResponseReader.class);
    reader.start(call, listener, request);
    boolean inParts = request.body().length > RequestBodyWriter.PART_BYTES;
    DefaultHttpRequest message =
        inParts
            ? new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.path())
            : new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.path(),
                Unpooled.wrappedBuffer(request.body()));
    message.headers().set(request.headers());
    if (!message.headers().contains(HttpHeaderNames.HOST)) {
      message.headers().set(HttpHeaderNames.HOST, hostOf(address));
    }
    if (request.body().length > 0 || !HttpMethod.GET.equals(request.method())) {
      message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    }
    call.markSent();
    if (inParts) {
      reader.expectBodyInParts();
      RequestBodyWriter.write(channel, message, request.body(), reader::bodyWritten);
    } else {
      channel.writeAndFlush(message, channel.voidPromise());
    }
  }

  /** Closes the idle connections to a peer. */
  public void closeIdleConnections(InetSocketAddress address) {
    pool.closeIdleConnections(address);
  }

  /**
   * Checks whether a process listens at an address by opening a connection and closing it again.
   *
   * @param address peer
   * @return what the peer did with the connection; never fails
   */
  public CompletableFuture<Reachability> probe(InetSocketAddress address) {
    CompletableFuture<Reachability> result = new CompletableFuture<>();
    pool.connect(group.next(), address)
        .addListener(
            (Future<Channel> connected) -> {
              if (connected.isSuccess()) {
                awaitClose(connected.getNow(), result);
              } else {
                result.complete(reachabilityOf(connected.cause()));
              }
            });
    return result;
  }

  private static void awaitClose(Channel channel, CompletableFuture<Reachability> result) {
    channel.closeFuture().addListener(closed -> result.complete(Reachability.CLOSES));
    channel
        .eventLoop()
        .schedule(
            () -> {
              result.complete(Reachability.ACCEPTS);
              channel.close();
            },
            CLOSE_DETECTION_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  private static Reachability reachabilityOf(Throwable cause) {
    boolean inconclusive =
        cause instanceof ConnectTimeoutException
            || cause instanceof NoRouteToHostException
            || !(cause instanceof ConnectException);
    return inconclusive ? Reachability.UNKNOWN : Reachability.REFUSES;
  }

  private static String hostOf(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }

  /**
   * Sends a request and collects the complete reply.
   *
   * @param address peer
   * @param request what to send
   * @param timeout maximum time until the reply is complete
   * @return the reply; fails with {@link HttpCallException} if the call fails or times out
   */
  public CompletableFuture<HttpReply> exchange(
      InetSocketAddress address, HttpRequestMessage request, Duration timeout) {
    EventLoop eventLoop = group.next();
    CompletableFuture<HttpReply> result = new CompletableFuture<>();
    HttpCall call = send(eventLoop, address, request, new CollectingListener(result));
    var timer =
        eventLoop.schedule(
            () -> {
              HttpCallException.Stage stage =
                  call.wasSent()
                      ? HttpCallException.Stage.NO_REPLY
                      : HttpCallException.Stage.NOT_SENT;
              if (call.cancel()) {
                // Other open connections to the peer may be unresponsive for the same reason.
                pool.closeIdleConnections(address);
                result.completeExceptionally(
                    new HttpCallException(stage, address + ": no reply within " + timeout));
              }
            },
            timeout.toMillis(),
            TimeUnit.MILLISECONDS);
    result.whenComplete(
        (reply, failure) -> {
          timer.cancel(false);
          // A reply that exceeds the size limit is still being read.
          call.cancel();
        });
    result.thenAccept(
        reply ->
            exchangeListener.onExchange(
                request.path(), request.body().length, reply.body().length));
    return result;
  }

  private static final class CollectingListener implements HttpResponseListener {
    private final CompletableFuture<HttpReply> result;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private HttpHeaders headers = new DefaultHttpHeaders();

    CollectingListener(CompletableFuture<HttpReply> result) {
      this.result = result;
    }

    @Override
    public void onHead(int replyStatus, HttpHeaders replyHeaders) {
      status = replyStatus;
      headers = replyHeaders;
    }

    @Override
    public void onContent(ByteBuf content) {
      if (body.size() + content.readableBytes() > MAX_REPLY_BYTES) {
        result.completeExceptionally(
            new HttpCallException(
                HttpCallException.Stage.BROKEN_REPLY, "the reply exceeds the size limit"));
        return;
      }
      byte[] part = new byte[content.readableBytes()];
      content.readBytes(part);
      body.writeBytes(part);
    }

    @Override
    public void onEnd() {
      result.complete(new HttpReply(status, headers, body.toByteArray()));
    }

    @Override
    public void onFailure(HttpCallException failure) {
      result.completeExceptionally(failure);
    }
  }
}
