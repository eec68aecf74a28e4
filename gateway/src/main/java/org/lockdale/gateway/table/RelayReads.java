package org.lockdale.gateway.table;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Tracks from which relay a table is being read, and from which one to read if that fails. Without
 * the latter, a relay that sends heartbeats but no changes could be read again and again, since the
 * heartbeats of another one may all arrive while a read is in progress. Not safe for use by several
 * threads.
 */
final class RelayReads {

  private @Nullable InetSocketAddress current;
  private @Nullable InetSocketAddress alternative;

  /** Returns whether a read is in progress. */
  boolean inProgress() {
    return current != null;
  }

  /**
   * Begins a read, unless one is in progress; in that case the relay is read if that one fails.
   *
   * @return whether the read has begun
   */
  boolean begin(InetSocketAddress relay) {
    if (current == null) {
      current = relay;
      return true;
    }
    if (!relay.equals(current)) {
      alternative = relay;
    }
    return false;
  }

  /**
   * Ends the read in progress.
   *
   * @param failed whether it failed
   * @return the relay from which a read begins instead, if any
   */
  Optional<InetSocketAddress> end(boolean failed) {
    current = failed ? alternative : null;
    alternative = null;
    return Optional.ofNullable(current);
  }
}
