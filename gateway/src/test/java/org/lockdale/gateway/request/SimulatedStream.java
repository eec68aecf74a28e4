package org.lockdale.gateway.request;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import org.jspecify.annotations.Nullable;
import org.lockdale.http.ServerSentEventDecoder;

/** The events of one source, which the response of the caller must take while it is the source. */
final class SimulatedStream {

  private static final int OK = 200;

  private final String name;
  private final SimulatedNode node;
  private final CallerResponse.Source source;
  private long position;
  private boolean prepared;

  /**
   * Creates the stream of a source.
   *
   * @param resumedAfter event after which it begins; null for the first one
   */
  SimulatedStream(String name, SimulatedNode node, @Nullable String resumedAfter) {
    this.name = name;
    this.node = node;
    this.source = node.state.response.source(name, () -> {});
    this.position = resumedAfter == null ? 0 : Long.parseLong(resumedAfter);
  }

  void open() {
    source.open();
  }

  /** Writes the next event. */
  void writeNext() {
    if (!prepared) {
      prepared = true;
      source.prepareStream(OK, EmptyHttpHeaders.INSTANCE, node.scenario.resumable());
    }
    position++;
    node.invariants.written(name, position);
    long id = node.scenario.eventIds() ? position : ServerSentEventDecoder.NO_ID;
    boolean taken = source.write(id, Unpooled.EMPTY_BUFFER, node.timers.nowMillis());
    node.invariants.requireWriter(name, taken);
  }
}
