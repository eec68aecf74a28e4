package org.lockdale.gateway.resume;

/** What the nodes that would keep the origin of a stream know of it. */
public sealed interface OriginReply {

  /** At least one of them has responded, and none keeps the origin. */
  OriginReply NOT_KEPT = new NotKept();

  /** None of them has responded in time, so that this node may be cut off. */
  OriginReply NO_RESPONSE = new NoResponse();

  /** The origin is known. */
  record Kept(StreamOrigin origin) implements OriginReply {}

  /** At least one of them has responded, and none keeps the origin. */
  record NotKept() implements OriginReply {}

  /** None of them has responded in time, so that this node may be cut off. */
  record NoResponse() implements OriginReply {}
}
