package org.lockdale.gateway.backend;

import io.netty.handler.codec.http.HttpHeaders;
import org.lockdale.gateway.caller.CallerRequest;
import org.lockdale.http.HttpRequestMessage;

/** Port of the protocol that back ends speak. */
public interface BackendProtocol {

  /** Writes a request as it goes to a back end. */
  HttpRequestMessage write(CallerRequest request, AttemptPlan plan);

  /**
   * Returns whether a path leads to a back end's own interface, such as its orders. Back ends ask
   * nobody who calls it, so no route passes a caller on to it.
   */
  boolean isControlPath(String path);

  /** Returns whether an answer belongs to a request. */
  boolean belongsTo(CallerRequest request, HttpHeaders answer);

  /** Reads the head of an answer. */
  AnswerHead read(int status, HttpHeaders headers);
}
