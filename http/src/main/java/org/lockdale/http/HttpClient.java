package org.lockdale.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** An HTTP/1.1 client with pooled connections, each of which carries one exchange at a time. */
public final class HttpClient {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

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
  private final CollectedReplies collected = new CollectedReplies();
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
    ConnectionSource connections =
        ConnectionSource.of(
            pool, eventLoop, address, request, maxConnections, ConnectionReuse.AFTER_ANY_REPLY);
    send(connections, address, request, call, listener);
    return call;
  }

  private void send(
      ConnectionSource connections,
      InetSocketAddress address,
      HttpRequestMessage request,
      HttpCall call,
      HttpResponseListener listener) {
    connections
        .acquire()
        .get()
        .addListener(
            (Future<Channel> acquired) -> {
              if (acquired.isSuccess()) {
                write(acquired.getNow(), connections, address, request, call, listener);
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
      ConnectionSource connections,
      InetSocketAddress address,
      HttpRequestMessage request,
      HttpCall call,
      HttpResponseListener listener) {
    if (call.hasEnded()) {
      putBack(channel, connections);
      return;
    }
    if (!channel.isActive()) {
      // The pool handed it out to another thread just before this event loop closed it.
      send(connections, address, request, call, listener);
      return;
    }
    if (!listener.maySend(ConnectionPool.ageMillis(channel))) {
      putBack(channel, connections);
      if (call.tryEnd()) {
        listener.onFailure(
            new HttpCallException(
                HttpCallException.Stage.NOT_SENT, "the request was withdrawn before it was sent"));
      }
      return;
    }
    ResponseReader reader = channel.pipeline().get(ResponseReader.class);
    call.attach(channel, reader.isUsed());
    reader.start(call, listener, request);
    reader.setReuse(connections.reuse());
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

  /** Ends the use of a connection over which nothing was sent. */
  private void putBack(Channel channel, ConnectionSource connections) {
    if (connections.reuse() == ConnectionReuse.NEVER) {
      channel.close();
    } else {
      pool.release(channel);
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
    return ReachabilityProbe.start(pool.connect(group.next(), address));
  }

  private static String hostOf(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }

  /**
   * Sends a request and collects the complete reply, to a peer that sends one reply to each
   * request.
   *
   * @param address peer
   * @param request what to send
   * @param timeout maximum time until the reply is complete
   * @return the reply; fails with {@link HttpCallException} if the call fails or times out
   */
  public CompletableFuture<HttpReply> exchange(
      InetSocketAddress address, HttpRequestMessage request, Duration timeout) {
    ConnectionSource connections = pooled(address, request, ConnectionReuse.AFTER_ANY_REPLY);
    return exchange(connections, new HttpCall(), address, request, timeout, ReplyCheck.ANY);
  }

  /**
   * Sends a request and collects the complete reply to it. A late second reply to an earlier call,
   * which takes the place of the one that is due, is skipped if the check recognizes it. A failure
   * ends the connection: if it is such a reply, the one that is due is still to arrive there.
   *
   * @param address peer
   * @param request what to send
   * @param timeout maximum time until the reply is complete
   * @param check tells surplus replies
   * @return the reply; fails with {@link HttpCallException} if the call fails or times out
   */
  public CompletableFuture<HttpReply> exchange(
      InetSocketAddress address, HttpRequestMessage request, Duration timeout, ReplyCheck check) {
    ConnectionSource connections = pooled(address, request, ConnectionReuse.AFTER_SUCCESS);
    return exchange(connections, new HttpCall(), address, request, timeout, check);
  }

  private ConnectionSource pooled(
      InetSocketAddress address, HttpRequestMessage request, ConnectionReuse reuse) {
    return ConnectionSource.of(pool, group.next(), address, request, Integer.MAX_VALUE, reuse);
  }

  /**
   * Sends a request that may be processed twice, and collects the complete reply to it, as {@link
   * #exchange(InetSocketAddress, HttpRequestMessage, Duration, ReplyCheck)} does. A failure over a
   * connection that carried another call may be a late second reply to that call, whatever the
   * status of the first one. Therefore it ends the connection, and the request is sent once more,
   * over a new connection, with the same timeout.
   *
   * @param address peer
   * @param request what to send
   * @param timeout maximum time until the reply is complete, for each of the two sends
   * @param check tells surplus replies that are successes
   * @return the reply; fails with {@link HttpCallException} if a call fails or times out
   */
  public CompletableFuture<HttpReply> exchangeRepeatable(
      InetSocketAddress address, HttpRequestMessage request, Duration timeout, ReplyCheck check) {
    ConnectionSource connections = pooled(address, request, ConnectionReuse.AFTER_SUCCESS);
    HttpCall call = new HttpCall();
    return exchange(connections, call, address, request, timeout, check)
        .thenCompose(
            reply ->
                reply.isSuccess() || !call.isConnectionUsed()
                    ? CompletableFuture.completedFuture(reply)
                    : repeat(call, reply, address, request, timeout, check));
  }

  private CompletableFuture<HttpReply> repeat(
      HttpCall failed,
      HttpReply failure,
      InetSocketAddress address,
      HttpRequestMessage request,
      Duration timeout,
      ReplyCheck check) {
    Logger.info(
        "event=call-repeated address={} connection={} status={}",
        address,
        failed.connection(),
        failure.status());
    EventLoop eventLoop = group.next();
    ConnectionSource fresh =
        new ConnectionSource(
            eventLoop,
            () -> pool.open(eventLoop, address, request, Integer.MAX_VALUE),
            ConnectionReuse.AFTER_SUCCESS);
    return exchange(fresh, new HttpCall(), address, request, timeout, check);
  }

  /**
   * Sends a request over a new connection, which carries no other call, and collects the complete
   * reply. So no late reply to another call can be taken for the one to this call, at the cost of a
   * connection.
   *
   * @param address peer
   * @param request what to send
   * @param timeout maximum time until the reply is complete
   * @param check tells replies that the peer sends without a request
   * @return the reply; fails with {@link HttpCallException} if the call fails or times out
   */
  public CompletableFuture<HttpReply> exchangeOnce(
      InetSocketAddress address, HttpRequestMessage request, Duration timeout, ReplyCheck check) {
    EventLoop eventLoop = group.next();
    ConnectionSource connections =
        new ConnectionSource(
            eventLoop, () -> pool.connect(eventLoop, address), ConnectionReuse.NEVER);
    return exchange(connections, new HttpCall(), address, request, timeout, check);
  }

  private CompletableFuture<HttpReply> exchange(
      ConnectionSource connections,
      HttpCall call,
      InetSocketAddress address,
      HttpRequestMessage request,
      Duration timeout,
      ReplyCheck check) {
    CompletableFuture<HttpReply> result = new CompletableFuture<>();
    send(connections, address, request, call, new ReplyCollector(check, collected, result));
    EventLoop eventLoop = connections.eventLoop();
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
}
