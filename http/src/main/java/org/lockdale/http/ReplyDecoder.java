package org.lockdale.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.function.Supplier;

/**
 * Decodes the replies of a peer, and rejects what Netty's decoder accepts although no reply may
 * have it. A rejected part has a failure as its decoder result.
 */
final class ReplyDecoder extends HttpResponseDecoder {

  private static final byte COLON = ':';

  private final Supplier<String> method;
  private final ConnectionEnd connectionEnd;

  /**
   * Creates a decoder.
   *
   * @param connectionEnd tells how the connection has ended
   * @param method returns the method of the latest request, on which the framing of a reply depends
   */
  ReplyDecoder(ConnectionEnd connectionEnd, Supplier<String> method) {
    super(new HttpDecoderConfig());
    this.connectionEnd = connectionEnd;
    this.method = method;
  }

  @Override
  protected HttpMessage createMessage(String[] statusLine) {
    StatusLine.check(statusLine[0], statusLine[1], statusLine[2]);
    return super.createMessage(statusLine);
  }

  /** Netty's decoder takes any blank within a name for its end. */
  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    AsciiString name = super.splitHeaderName(line, start, length);
    if (line[start + length] != COLON) {
      throw new InvalidReplyException("a field name is followed by a blank", name.toString());
    }
    return name;
  }

  /** A reply without a length is complete only if the peer has closed the connection. */
  @Override
  protected void decodeLast(ChannelHandlerContext context, ByteBuf rest, List<Object> parts)
      throws Exception {
    if (connectionEnd.isOrderly()) {
      super.decodeLast(context, rest, parts);
    }
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    HttpResponse head = (HttpResponse) message;
    return isWithoutContent(head) || super.isContentAlwaysEmpty(message);
  }

  /** Returns whether the reply has no content because of the method of its request. */
  private boolean isWithoutContent(HttpResponse head) {
    HttpStatusClass statusClass = head.status().codeClass();
    if (statusClass == HttpStatusClass.INFORMATIONAL) {
      return false;
    }
    boolean connected =
        statusClass == HttpStatusClass.SUCCESS && method.get().equals(HttpMethod.CONNECT.name());
    return connected || method.get().equals(HttpMethod.HEAD.name());
  }
}
