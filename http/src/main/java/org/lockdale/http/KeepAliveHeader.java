package org.lockdale.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses how long a peer keeps an idle connection open ({@code Keep-Alive: timeout=5}). */
final class KeepAliveHeader {

  private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

  /** Idle limit that is assumed if the peer announces none. */
  private static final long DEFAULT_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** A connection is no longer reused this long before the peer would close it. */
  private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private KeepAliveHeader() {}

  /** Returns how long an idle connection may be reused, in nanoseconds. */
  static long idleLimitNanos(HttpHeaders headers) {
    String value = headers.get("keep-alive");
    if (value == null) {
      return DEFAULT_LIMIT_NANOS;
    }
    Matcher matcher = TIMEOUT.matcher(value);
    if (!matcher.find()) {
      return DEFAULT_LIMIT_NANOS;
    }
    long limit = TimeUnit.SECONDS.toNanos(Long.parseLong(matcher.group(1)));
    return Math.max(0, limit - MARGIN_NANOS);
  }
}
