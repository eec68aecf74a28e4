package org.lockdale.gateway.backend;

import io.netty.handler.codec.http.HttpHeaders;
import org.lockdale.gateway.caller.CallerRequest;
import org.lockdale.http.HttpRequestMessage;

/** Port for the protocol of backends. */
public interface BackendProtocol {

  /** Returns a request in the form in which it is sent to a backend. */
  HttpRequestMessage write(CallerRequest request, AttemptPlan plan);

  /**
   * Returns whether a path belongs to a backend's control interface, such as the one for orders.
   * Backends don't authenticate its callers, so no route forwards a caller's request to it.
   */
  boolean isControlPath(String path);

  /** Parses the head of a response. */
  ResponseHead read(int status, HttpHeaders headers);
}
