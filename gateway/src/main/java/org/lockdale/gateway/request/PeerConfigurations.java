package org.lockdale.gateway.request;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.gateway.cluster.PeerNode;
import org.lockdale.gateway.configuration.GatewayConfiguration;
import org.tinylog.Logger;

/**
 * The newest version of the configuration that other nodes have named in forwarded requests and
 * their responses. Callers may have seen the effect of that version, so this node reads it and does
 * not deny requests by an older one. Thread-safe.
 */
public final class PeerConfigurations {

  private final Section<GatewayConfiguration> own;
  private final Consumer<PeerNode> reader;
  private final AtomicLong newest = new AtomicLong(Long.MIN_VALUE);

  /**
   * Creates an instance.
   *
   * @param own configuration of this node
   * @param reader reads the configuration from a node that has a newer one
   */
  public PeerConfigurations(Section<GatewayConfiguration> own, Consumer<PeerNode> reader) {
    this.own = own;
    this.reader = reader;
  }

  /** Records the version by which a node has handled a request that this node has forwarded. */
  void observeResponse(PeerNode peer, long version) {
    if (isNewerThanOwn(version)) {
      Logger.info(
          "event=newer-configuration-seen version={} own={} node={}",
          version,
          own.value().version(),
          peer.id());
      reader.accept(peer);
    }
  }

  /**
   * Records the version by which a node has handled a request that it has forwarded to this node.
   *
   * @return whether it is newer than that of this node, which must not handle the request
   */
  boolean observeRequest(long version) {
    return isNewerThanOwn(version);
  }

  private boolean isNewerThanOwn(long version) {
    newest.accumulateAndGet(version, Math::max);
    return version > own.value().version();
  }

  /** Returns whether a configuration is older than the newest one that another node has named. */
  boolean isOutdated(GatewayConfiguration configuration) {
    return configuration.version() < newest.get();
  }
}
