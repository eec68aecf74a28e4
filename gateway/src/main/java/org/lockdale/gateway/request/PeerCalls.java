package org.lockdale.gateway.request;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.lockdale.gateway.cluster.PeerNode;

/** Selects the nodes to which one request is forwarded, and calls them. */
interface PeerCalls {

  /** A call to another node. */
  interface Call {

    /** Sends the request. The call may end before this method returns. */
    void start();

    /**
     * Cancels the call without reporting a result.
     *
     * @return whether the node may have received the request
     */
    boolean cancel();
  }

  /**
   * Returns a node that may be able to serve the request.
   *
   * @param tried ids of nodes that are not returned
   */
  Optional<PeerNode> select(Set<String> tried);

  /** Records that a node has served the request. */
  void include(PeerNode peer);

  /** Records that a node could not serve the request. */
  void exclude(PeerNode peer);

  /** Creates a call. */
  Call create(PeerNode peer, Consumer<ForwardedCall.Result> onResult);

  /** Finds out whether a node responds to anything now; the future never fails. */
  CompletableFuture<Boolean> isResponsive(PeerNode peer);

  /** Records that no backend has run the request or ever will. */
  void onNotRun();
}
