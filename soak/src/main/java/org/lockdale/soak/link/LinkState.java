package org.lockdale.soak.link;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The present faults and the connections of a link between two processes. Thread-safe. */
final class LinkState {

  private final Set<ProxiedConnection> connections = ConcurrentHashMap.newKeySet();
  private volatile long delayMillis;
  private volatile boolean outboundCut;
  private volatile boolean inboundCut;

  /** Whether the network between both ends is gone, whatever else is set. */
  private volatile boolean severed;

  long delayMillis() {
    return delayMillis;
  }

  /** Returns whether bytes to the destination, or those back to the source, are blocked. */
  boolean isCut(boolean outbound) {
    return severed || (outbound ? outboundCut : inboundCut);
  }

  void setSevered(boolean newSevered) {
    severed = newSevered;
    connections.forEach(ProxiedConnection::resume);
  }

  void setDelay(long millis) {
    delayMillis = millis;
    connections.forEach(ProxiedConnection::resume);
  }

  void setCut(boolean outbound, boolean cut) {
    if (outbound) {
      outboundCut = cut;
    } else {
      inboundCut = cut;
    }
    connections.forEach(ProxiedConnection::resume);
  }

  void reset() {
    connections.forEach(ProxiedConnection::reset);
  }

  void silence() {
    connections.forEach(ProxiedConnection::silence);
  }

  void add(ProxiedConnection connection) {
    connections.add(connection);
  }

  void remove(ProxiedConnection connection) {
    connections.remove(connection);
  }
}
