package org.lockdale.http;

import io.netty.handler.codec.http.HttpStatusClass;

/** After which replies a connection may carry another call. */
enum ConnectionReuse {
  /** After any complete reply. */
  AFTER_ANY_REPLY,
  /** After a success; any other status may be a late second reply to an earlier call. */
  AFTER_SUCCESS,
  /** After none: the connection is opened for one call. */
  NEVER;

  /** Returns whether a reply with a status allows another call. */
  boolean isAllowedAfter(int status) {
    return switch (this) {
      case AFTER_ANY_REPLY -> true;
      case AFTER_SUCCESS -> HttpStatusClass.SUCCESS.contains(status);
      case NEVER -> false;
    };
  }
}
