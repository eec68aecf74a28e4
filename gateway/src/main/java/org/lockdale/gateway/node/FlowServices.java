package org.lockdale.gateway.node;

import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.flow.FlowLimits;
import org.lockdale.gateway.flow.HeldBytes;
import org.lockdale.http.FlowSettings;

/** Creates what bounds the memory that a node holds for slow callers and backends. */
final class FlowServices {

  private static final int BYTES_PER_KILOBYTE = 1_024;

  /** The bytes that are held may take up the heap divided by this. */
  private static final int HEAP_DIVISOR = 4;

  private final HeldBytes held;

  /**
   * Creates the services.
   *
   * @throws IllegalArgumentException if the marks or the share don't fit together
   */
  FlowServices(GatewaySettings settings, Time time) {
    FlowLimits limits =
        new FlowLimits(
            settings.get(GatewaySettings.FLOW_HIGH_MARK) * BYTES_PER_KILOBYTE,
            settings.get(GatewaySettings.FLOW_LOW_MARK) * BYTES_PER_KILOBYTE,
            Math.min(
                FlowLimits.boundOf(
                    settings.get(GatewaySettings.NODE_MEMORY),
                    settings.get(GatewaySettings.FLOW_HELD_SHARE)),
                // Request bodies and plain responses are on the heap, which may be far smaller.
                Runtime.getRuntime().maxMemory() / HEAP_DIVISOR),
            settings.get(GatewaySettings.FLOW_UNREAD_WAIT).toMillis());
    held = new HeldBytes(limits, time);
  }

  /** Returns the count of what the node holds. */
  HeldBytes held() {
    return held;
  }

  /** Returns the bounds of the node's servers. */
  FlowSettings ofServers() {
    return new FlowSettings(held.limits().highMarkBytes(), held.limits().lowMarkBytes(), held);
  }
}
