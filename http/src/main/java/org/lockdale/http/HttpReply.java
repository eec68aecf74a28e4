package org.lockdale.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/**
 * A complete HTTP response, as a server sends it or a client has received it.
 *
 * @param status HTTP status code
 * @param headers reply headers; the content length is added when the reply is sent
 * @param body reply body
 */
public record HttpReply(int status, HttpHeaders headers, byte[] body) {

  /** Media type of JSON bodies. */
  public static final String JSON = "application/json";

  /** Media type of plain text bodies. */
  public static final String TEXT = "text/plain; charset=utf-8";

  private static final byte[] EMPTY = new byte[0];

  /** Returns a reply whose only header is the content type. */
  public static HttpReply of(int status, String contentType, byte[] body) {
    HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    return new HttpReply(status, headers, body);
  }

  /** Returns a plain text reply. */
  public static HttpReply text(int status, String body) {
    return of(status, TEXT, body.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a JSON reply. */
  public static HttpReply json(int status, byte[] body) {
    return of(status, JSON, body);
  }

  /** Returns a reply without a body. */
  public static HttpReply empty(int status) {
    return new HttpReply(status, new DefaultHttpHeaders(), EMPTY);
  }

  /** Returns whether the status is one of success. */
  public boolean isSuccess() {
    return HttpStatusClass.SUCCESS.contains(status);
  }

  /** Sets a header and returns this reply. */
  public HttpReply with(CharSequence name, Object value) {
    headers.set(name, value);
    return this;
  }

  /** Converts the reply to a Netty response with its content length. */
  FullHttpResponse toResponse() {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
    response.headers().set(headers);
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
    return response;
  }

  /** Returns the body decoded as UTF-8. */
  public String bodyText() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
