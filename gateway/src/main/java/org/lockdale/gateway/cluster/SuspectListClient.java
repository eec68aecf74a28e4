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
 * Requests the list of suspects, the requests that are suspected of crashing backends, from other
 * nodes, once after the start of this node. The shared table contains a limited number of requests
 * with a single crash, and only while the crash is recent; others are known only to the nodes that
 * were running at the time, and would be lost when these stop. Runs on one event loop.
 */
public final class SuspectListClient {

  /** Two, since a node that responds may have just started as well. */
  private static final int WANTED_RESPONSES = 2;

  private static final int MAX_REQUESTS = 4;
  private static final long PEER_POLL_MILLIS = 100;
  private static final Duration TIMEOUT = Duration.ofMillis(600);
  private static final int OK = 200;

  private final EventLoop eventLoop;
  private final HttpClient client;
  private final Supplier<List<PeerNode>> peers;
  private final Consumer<List<Suspect>> onSuspects;
  private final MessageCodec<NodeDatagram> codec = MessageCodec.nodeDatagrams();
  private List<PeerNode> remainingPeers = List.of();
  private int responses;
  private int requests;

  /**
   * Creates an instance; {@link #start} starts it.
   *
   * @param eventLoop runs the requests
   * @param client sends requests to other nodes
   * @param peers supplies the other nodes, empty while they are unknown
   * @param onSuspects receives the suspects that other nodes know, on the event loop
   */
  public SuspectListClient(
      EventLoop eventLoop,
      HttpClient client,
      Supplier<List<PeerNode>> peers,
      Consumer<List<Suspect>> onSuspects) {
    this.eventLoop = eventLoop;
    this.client = client;
    this.peers = peers;
    this.onSuspects = onSuspects;
  }

  /** Starts the requests as soon as other nodes are known. */
  public void start() {
    eventLoop.execute(this::awaitPeers);
  }

  private void awaitPeers() {
    if (peers.get().isEmpty()) {
      eventLoop.schedule(this::awaitPeers, PEER_POLL_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    List<PeerNode> all = new ArrayList<>(peers.get());
    Collections.shuffle(all, ThreadLocalRandom.current());
    remainingPeers = all;
    for (int node = 0; node < WANTED_RESPONSES; node++) {
      requestNext();
    }
  }

  private void requestNext() {
    if (requests == MAX_REQUESTS || responses == WANTED_RESPONSES || remainingPeers.isEmpty()) {
      return;
    }
    requests++;
    InetSocketAddress address = remainingPeers.remove(remainingPeers.size() - 1).address();
    client
        .exchange(address, HttpRequestMessage.get(SuspectListHandler.PATH), TIMEOUT)
        .thenApply(this::read)
        .whenCompleteAsync(
            (suspects, failure) -> onResponse(address, suspects, failure), eventLoop);
  }

  private List<Suspect> read(HttpReply reply) {
    if (reply.status() != OK) {
      throw new IllegalStateException("unexpected response status " + reply.status());
    }
    Object body = codec.decode(reply.body()).getBody();
    return body instanceof SuspectReport report
        ? report.getSuspects().stream().map(SuspectMessages::read).toList()
        : List.of();
  }

  /**
   * Processes a response. Nodes of an earlier version do not support the request, and those that
   * are gone do not respond; the list is requested from another node instead.
   */
  private void onResponse(
      InetSocketAddress address, @Nullable List<Suspect> suspects, @Nullable Throwable failure) {
    if (suspects == null) {
      Logger.info("event=suspects-not-told node={} cause=\"{}\"", address, failure);
      requestNext();
      return;
    }
    responses++;
    if (!suspects.isEmpty()) {
      onSuspects.accept(suspects);
    }
  }
}
