package org.lockdale.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Passes the parts of a reply to the listener of the call that occupies the connection. */
final class ResponseReader extends SimpleChannelInboundHandler<HttpObject> {

  /** Message of the operating system for ETIMEDOUT, which the JDK has no exception type for. */
  private static final String TIMED_OUT = "Connection timed out";

  private final ConnectionPool pool;
  private final InetSocketAddress address;
  private @Nullable HttpCall call;
  private @Nullable HttpResponseListener listener;

  /** Listener of a call whose reply is complete, until the rest of the read is decoded. */
  private @Nullable HttpResponseListener completed;

  private boolean headReceived;

  /** Status of the reply whose head was received. */
  private int status;

  private boolean keepAlive;

  /** Whether the parts of a reply that doesn't belong to the call are being discarded. */
  private boolean skipping;

  /** Whether a surplus reply was received, after which the connection is not reused. */
  private boolean surplusSeen;

  /** Method of the latest request; empty before the first one. */
  private String method = "";

  /** Id by which the reply to the latest call is recognized; null if by its place alone. */
  private @Nullable EchoedId echoedId;

  private final CarriedIds carriedIds = new CarriedIds();

  /** Time by {@link System#nanoTime} of the latest complete reply; null if there was none. */
  private @Nullable Long repliedAtNanos;

  private ConnectionReuse reuse = ConnectionReuse.AFTER_ANY_REPLY;

  private long idleLimitNanos;

  /** Whether parts of the request's body have not been written yet. */
  private boolean writingBody;

  private ResponseProgress progress = new ResponseProgress();

  ResponseReader(ConnectionPool pool, InetSocketAddress address) {
    this.pool = pool;
    this.address = address;
  }

  /** Starts to read the reply to a call. */
  void start(HttpCall newCall, HttpResponseListener newListener, HttpRequestMessage request) {
    call = newCall;
    listener = newListener;
    method = request.method().name();
    echoedId = request.echoedId();
    if (echoedId != null) {
      carriedIds.add(echoedId);
    }
    headReceived = false;
    skipping = false;
    progress = new ResponseProgress();
  }

  /**
   * Returns whether a request may be sent over this connection: not if it has carried the id
   * before, as a late second reply to the former send could not be told from the reply.
   */
  boolean tellsApart(@Nullable EchoedId id) {
    return id == null || !carriedIds.mayContain(id);
  }

  /** Returns the method of the latest request; empty before the first one. */
  String method() {
    return method;
  }

  /** Returns whether the connection has carried a complete call. */
  boolean isUsed() {
    return repliedAtNanos != null;
  }

  /** Sets after which replies to the current call the connection stays open. */
  void setReuse(ConnectionReuse newReuse) {
    reuse = newReuse;
  }

  /** Records that the body of the current call is written in parts. */
  void expectBodyInParts() {
    writingBody = true;
  }

  /** Records that the last part of the body was written. */
  void bodyWritten() {
    writingBody = false;
  }

  /** Records bytes that arrived and are decoded next. */
  void recordReceived(int bytes) {
    progress.recordReceived(bytes);
  }

  /** Fails the call if too much has arrived beside the content of its reply. */
  void checkProgress(ChannelHandlerContext context) {
    String problem = progress.problem();
    if (problem != null) {
      fail(context, false, problem);
    }
  }

  /**
   * Closes the connection if bytes have arrived that no call waits for. They may not form a head
   * yet, and the decoder would put them in front of the next reply.
   */
  void checkIdle(ChannelHandlerContext context) {
    if (call == null && completed == null) {
      context.close();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
    HttpCall current = call;
    HttpResponseListener receiver = listener;
    if (current == null || receiver == null || current.hasEnded()) {
      if (current == null && part instanceof HttpResponse response) {
        recordSurplus(context, response.status().code(), idIn(response), true);
      }
      context.close();
      return;
    }
    if (part.decoderResult().isFailure()) {
      failUndecodable(context, part.decoderResult().cause());
      return;
    }
    if (MergedHeads.isIn(part)) {
      fail(context, false, "its head or trailers continue in another head");
      return;
    }
    if (part instanceof HttpResponse response) {
      if (hasUnknownCoding(response)) {
        fail(context, false, "its body has a transfer coding other than chunked");
        return;
      }
      start(context, response, receiver);
    }
    if (skipping) {
      progress.recordSurplus(contentBytes(part));
      skipping = !(part instanceof LastHttpContent);
      return;
    }
    if (part instanceof HttpContent content && content.content().isReadable()) {
      accept(content.content(), current, receiver);
    }
    if (part instanceof LastHttpContent && !current.hasEnded()) {
      endReply(context, current, receiver);
    }
  }

  private boolean hasUnknownCoding(HttpResponse response) {
    return BodyFraming.hasUnknownCoding(method, response.status().code(), response.headers());
  }

  private void endReply(
      ChannelHandlerContext context, HttpCall current, HttpResponseListener receiver) {
    if (!receiver.acceptsComplete()) {
      surplusSeen = true;
      headReceived = false;
      recordSurplus(context, status, null, false);
    } else if (current.tryEnd()) {
      completed = receiver;
      call = null;
      listener = null;
      repliedAtNanos = System.nanoTime();
    }
  }

  /**
   * Ends a call with the read that completed its reply. Whatever else was in that read was not due,
   * and has closed the connection by now, so that the next call can't take it for its reply.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    endCompleted(context);
    context.fireChannelReadComplete();
  }

  private void endCompleted(ChannelHandlerContext context) {
    HttpResponseListener receiver = completed;
    if (receiver != null) {
      completed = null;
      release(context);
      receiver.onEnd();
    }
  }

  /** The decoder reports a connection that closes within a head as an invalid head. */
  private void failUndecodable(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof PrematureChannelClosureException) {
      fail(context, true, "the connection closed within a head");
    } else if (cause instanceof InvalidReplyException) {
      fail(context, false, "the reply is not valid HTTP: " + cause.getMessage());
    } else {
      fail(context, false, "the reply is not valid HTTP");
    }
  }

  private static int contentBytes(HttpObject part) {
    return part instanceof HttpContent content ? content.content().readableBytes() : 0;
  }

  private void accept(ByteBuf content, HttpCall current, HttpResponseListener receiver) {
    if (current.discardsContent()) {
      progress.recordUnwanted(content.readableBytes());
    } else {
      progress.recordContent(content.readableBytes());
      receiver.onContent(content);
    }
  }

  private void start(
      ChannelHandlerContext context, HttpResponse response, HttpResponseListener receiver) {
    EchoedId expected = echoedId;
    if (response.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
      fail(context, false, "it switches to another protocol");
      return;
    }
    if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      skipping = true;
      progress.recordInformationalHead();
      return;
    }
    if (expected != null && !expected.isIn(response.headers())) {
      skipSurplus(context, response);
      return;
    }
    headReceived = true;
    status = response.status().code();
    keepAlive = HttpUtil.isKeepAlive(response) && !surplusSeen;
    idleLimitNanos = KeepAliveHeader.idleLimitNanos(response.headers());
    receiver.onHead(status, response.headers());
  }

  private @Nullable String idIn(HttpResponse response) {
    EchoedId latest = echoedId;
    return latest == null ? null : latest.idIn(response.headers());
  }

  private void skipSurplus(ChannelHandlerContext context, HttpResponse response) {
    skipping = true;
    surplusSeen = true;
    recordSurplus(context, response.status().code(), idIn(response), false);
    if (isFailureWithoutId(response)) {
      fail(context, false, "its failure repeats no id");
      return;
    }
    if (hasUnknownEnd(response)) {
      fail(
          context, false, "a reply without a known end that belongs to another request came first");
    }
  }

  /**
   * Returns whether it can't be told where a surplus reply ends, so that the call would wait to its
   * deadline. In front of the reply to a HEAD, it may have a body or only announce one.
   */
  private boolean hasUnknownEnd(HttpResponse surplus) {
    BodyFraming framing = BodyFraming.of(method, surplus.status().code(), surplus.headers());
    return framing == BodyFraming.CLOSE_DELIMITED || method.equals(HttpMethod.HEAD.name());
  }

  /**
   * Returns whether a reply may be a failure of the request that waits, although it has no id. What
   * follows it may then be a second reply, which must not be taken for the first one.
   */
  private boolean isFailureWithoutId(HttpResponse response) {
    boolean failure = response.status().code() >= HttpResponseStatus.BAD_REQUEST.code();
    return failure && idIn(response) == null;
  }

  private void recordSurplus(
      ChannelHandlerContext context, int surplusStatus, @Nullable String id, boolean idle) {
    EchoedId awaited = idle ? null : echoedId;
    Long replied = repliedAtNanos;
    pool.recordSurplus(
        new SurplusReply(
            address,
            ConnectionPool.localPort(context.channel()),
            surplusStatus,
            id,
            idle,
            awaited == null ? null : awaited.value(),
            replied == null ? -1 : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - replied)));
  }

  private void release(ChannelHandlerContext context) {
    // The last part of a reply may arrive in a read during which the call was paused.
    context.channel().config().setAutoRead(true);
    if (isReusable() && context.channel().isActive()) {
      pool.release(context.channel(), System.nanoTime() + idleLimitNanos);
    } else {
      context.close();
    }
  }

  private boolean isReusable() {
    return keepAlive && !writingBody && reuse.isAllowedAfter(status) && !carriedIds.isFull();
  }

  private void fail(ChannelHandlerContext context, boolean closedByPeer, String reason) {
    HttpCall current = call;
    HttpResponseListener receiver = listener;
    call = null;
    listener = null;
    context.close();
    if (current != null && receiver != null && current.tryEnd()) {
      HttpCallException.Stage stage =
          headReceived ? HttpCallException.Stage.BROKEN_REPLY : HttpCallException.Stage.NO_REPLY;
      receiver.onFailure(new HttpCallException(stage, closedByPeer, address + ": " + reason));
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    pool.discard(context.channel());
    endCompleted(context);
    fail(context, true, "the connection closed before the reply was complete");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    endCompleted(context);
    fail(context, cause instanceof IOException && !isTimeout(cause), cause.toString());
  }

  /** Returns whether the peer has answered no keepalive probe, so that it has closed nothing. */
  private static boolean isTimeout(Throwable cause) {
    return TIMED_OUT.equals(cause.getMessage());
  }
}
