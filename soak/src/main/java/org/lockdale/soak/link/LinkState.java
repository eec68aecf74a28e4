package org.lockdale.soak.link;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** How a link from one process to another behaves now. Thread-safe. */
final class LinkState {

  private final Set<Relay> relays = ConcurrentHashMap.newKeySet();
  private volatile long delayMillis;
  private volatile boolean cutForth;
  private volatile boolean cutBack;

  long delayMillis() {
    return delayMillis;
  }

  /** Returns whether bytes towards the destination, or back, are held up. */
  boolean isCut(boolean forth) {
    return forth ? cutForth : cutBack;
  }

  void setDelay(long millis) {
    delayMillis = millis;
    relays.forEach(Relay::resume);
  }

  void setCut(boolean forth, boolean cut) {
    if (forth) {
      cutForth = cut;
    } else {
      cutBack = cut;
    }
    relays.forEach(Relay::resume);
  }

  void reset() {
    relays.forEach(Relay::reset);
  }

  void silence() {
    relays.forEach(Relay::silence);
  }

  void add(Relay relay) {
    relays.add(relay);
  }

  void remove(Relay relay) {
    relays.remove(relay);
  }
}
