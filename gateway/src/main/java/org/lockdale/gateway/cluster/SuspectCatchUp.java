package org.lockdale.gateway.cluster;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.quarantine.Suspect;
import org.lockdale.gateway.quarantine.SuspectMessages;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpReply;
import org.lockdale.http.HttpRequestMessage;
import org.lockdale.protocol.MessageCodec;
import org.lockdale.protocol.generated.NodeDatagram;
import org.lockdale.protocol.generated.SuspectReport;
import org.tinylog.Logger;

/**
 * Asks other nodes, once after the start of this one, which requests are suspected of ending back
 * ends. Rows tell those with two ends and more; a first end is known to the nodes that ran then,
 * and is lost with them if they tell no node that starts. Runs on one event loop.
 */
public final class SuspectCatchUp {

  /** Two, since the one that is asked may have just started as well. */
  private static final int NODES_ASKED = 2;

  private static final int MOST_TRIES = 4;
  private static final long LOOK_MILLIS = 100;
  private static final Duration TIMEOUT = Duration.ofMillis(600);
  private static final int OK = 200;

  private final EventLoop eventLoop;
  private final HttpClient client;
  private final Supplier<List<PeerNode>> peers;
  private final Consumer<List<Suspect>> told;
  private final MessageCodec<NodeDatagram> codec = MessageCodec.nodeDatagrams();
  private List<PeerNode> unasked = List.of();
  private int answers;
  private int tries;

  /**
   * Creates it; {@link #start} starts it.
   *
   * @param eventLoop runs it
   * @param client calls other nodes
   * @param peers the other nodes, empty until they are known
   * @param told receives what they know, on the event loop
   */
  public SuspectCatchUp(
      EventLoop eventLoop,
      HttpClient client,
      Supplier<List<PeerNode>> peers,
      Consumer<List<Suspect>> told) {
    this.eventLoop = eventLoop;
    this.client = client;
    this.peers = peers;
    this.told = told;
  }

  /** Asks as soon as other nodes are known. */
  public void start() {
    eventLoop.execute(this::look);
  }

  private void look() {
    if (peers.get().isEmpty()) {
      eventLoop.schedule(this::look, LOOK_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    List<PeerNode> all = new ArrayList<>(peers.get());
    Collections.shuffle(all, ThreadLocalRandom.current());
    unasked = all;
    for (int node = 0; node < NODES_ASKED; node++) {
      askNext();
    }
  }

  private void askNext() {
    if (tries == MOST_TRIES || answers == NODES_ASKED || unasked.isEmpty()) {
      return;
    }
    tries++;
    InetSocketAddress address = unasked.remove(unasked.size() - 1).address();
    client
        .exchange(address, HttpRequestMessage.get(SuspectListHandler.PATH), TIMEOUT)
        .thenApply(this::read)
        .whenCompleteAsync((suspects, failure) -> answered(address, suspects, failure), eventLoop);
  }

  private List<Suspect> read(HttpReply reply) {
    if (reply.status() != OK) {
      throw new IllegalStateException("the node answered " + reply.status());
    }
    Object body = codec.decode(reply.body()).getBody();
    return body instanceof SuspectReport report
        ? report.getSuspects().stream().map(SuspectMessages::read).toList()
        : List.of();
  }

  /** Nodes of an earlier version don't know the question, and those that are gone don't answer. */
  private void answered(
      InetSocketAddress address, @Nullable List<Suspect> suspects, @Nullable Throwable failure) {
    if (suspects == null) {
      Logger.info("event=suspects-not-told node={} cause=\"{}\"", address, failure);
      askNext();
      return;
    }
    answers++;
    if (!suspects.isEmpty()) {
      told.accept(suspects);
    }
  }
}
