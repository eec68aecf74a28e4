package org.lockdale.gateway.resume;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Port to the other nodes, some of which keep the origin of each stream. */
public interface OriginPeers {

  /** Replicates origins to other nodes, which keep them. */
  void replicate(Map<StreamId, StreamOrigin> origins);

  /** Asks the nodes that keep the origin of a stream; the future doesn't fail. */
  CompletableFuture<OriginReply> ask(StreamId id);
}
