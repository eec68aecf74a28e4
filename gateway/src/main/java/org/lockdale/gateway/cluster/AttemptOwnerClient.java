package org.lockdale.gateway.cluster;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.lockdale.gateway.quarantine.AttemptIds;
import org.lockdale.gateway.quarantine.AttemptOwners;
import org.lockdale.gateway.quarantine.SuspectAttempt;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpRequestMessage;
import org.tinylog.Logger;

/** Asks other nodes by HTTP whether the attempts that they recorded are in progress. */
public final class AttemptOwnerClient implements AttemptOwners {

  private static final Duration TIMEOUT = Duration.ofMillis(600);
  private static final int OK = 200;

  private final HttpClient client;
  private final Supplier<List<PeerNode>> peers;

  /**
   * Creates an instance.
   *
   * @param client sends requests to other nodes
   * @param peers supplies the other nodes
   */
  public AttemptOwnerClient(HttpClient client, Supplier<List<PeerNode>> peers) {
    this.client = client;
    this.peers = peers;
  }

  @Override
  public CompletableFuture<Boolean> isInProgress(SuspectAttempt attempt) {
    if (attempt.id().isEmpty()) {
      // Nodes of an earlier version can't be asked, so theirs counts once its backend has ended.
      return CompletableFuture.completedFuture(true);
    }
    String node = AttemptIds.nodeOf(attempt.id());
    return peers.get().stream()
        .filter(peer -> peer.id().equals(node))
        .findFirst()
        .map(peer -> ask(peer, attempt))
        .orElseGet(() -> CompletableFuture.completedFuture(false));
  }

  private CompletableFuture<Boolean> ask(PeerNode peer, SuspectAttempt attempt) {
    HttpRequestMessage question = HttpRequestMessage.get(SuspectAttemptHandler.PATH + attempt.id());
    return client
        .exchange(peer.address(), question, TIMEOUT)
        .handle(
            (reply, failure) -> {
              boolean inProgress = failure == null && reply.status() == OK;
              if (!inProgress) {
                Logger.info(
                    "event=attempt-unresolved node={} fingerprint={} backend={} cause=\"{}\"",
                    peer.id(),
                    attempt.fingerprint(),
                    attempt.backend(),
                    failure == null ? "status " + reply.status() : failure.getMessage());
              }
              return inProgress;
            });
  }
}
