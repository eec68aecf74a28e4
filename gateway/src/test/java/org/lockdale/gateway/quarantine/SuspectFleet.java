package org.lockdale.gateway.quarantine;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.coordination.blackboard.Snapshot;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.caller.CallerRequest;
import org.lockdale.gateway.quarantine.part.SuspectParts;
import org.lockdale.http.Reachability;

/**
 * Nodes, servers and a shared store whose events a test orders itself, in virtual time. The store
 * keeps one row per key, with the keys of the production table.
 */
final class SuspectFleet {

  /** Time in milliseconds until a change of the store has been read by all nodes. */
  static final long READ_MILLIS = 20;

  private static final String TENANT = "tenant";

  final VirtualTime time = new VirtualTime();

  /** Rows of the store, by key. */
  final Map<String, Object> rows = new LinkedHashMap<>();

  /** Start times of the incarnations on record, by server. */
  private final Map<String, Long> records = new TreeMap<>();

  /** First servers at the addresses of those that replaced them, by the replacing server. */
  private final Map<String, String> formerIds = new TreeMap<>();

  private final List<Node> nodes = new ArrayList<>();
  private int startedNodes;
  boolean datagramsLost;
  boolean storeDown;
  boolean ownersUnreachable;

  /** Ids of the nodes that take themselves for the coordinator. */
  final Set<String> coordinators = new HashSet<>();

  /** Changes of the store that are in progress while a test delays them. */
  private final List<Runnable> delayedChanges = new ArrayList<>();

  boolean delayingWrites;
  boolean delayingRemovals;

  SuspectFleet(String... servers) {
    for (String server : servers) {
      records.put(server, 1L);
    }
  }

  Node startNode() {
    Node node = new Node();
    node.readBackends();
    node.readTable();
    nodes.add(node);
    run(READ_MILLIS);
    return node;
  }

  /** Starts a node that has read neither table yet. */
  Node startNodeWithoutTables() {
    Node node = new Node();
    nodes.add(node);
    return node;
  }

  void run(long millis) {
    time.runMillis(millis);
  }

  /** Puts an incarnation on record, in place of the previous one of its server. */
  void putOnRecord(String server, long startedAtMillis) {
    records.put(server, startedAtMillis);
    nodes.forEach(Node::readBackends);
  }

  /** Puts a server on record at the address of another one. */
  void putOnRecordAt(String former, String server, long startedAtMillis) {
    formerIds.put(server, formerIds.getOrDefault(former, former));
    putOnRecord(server, startedAtMillis);
  }

  void removeRecord(String server) {
    records.remove(server);
    nodes.forEach(Node::readBackends);
  }

  static CallerRequest guilty() {
    return Requests.of("r", "/a", "guilty");
  }

  static CallerRequest innocent(int number) {
    return Requests.of("r", "/a", "innocent " + number);
  }

  static RequestFingerprint fingerprint() {
    return RequestFingerprint.of(guilty(), TENANT);
  }

  /** Applies the delayed changes in the order in which they were requested. */
  void applyDelayedChanges() {
    delayingWrites = false;
    delayingRemovals = false;
    List<Runnable> due = List.copyOf(delayedChanges);
    delayedChanges.clear();
    due.forEach(Runnable::run);
    run(READ_MILLIS);
  }

  private CompletableFuture<Void> change(boolean delayed, Runnable change) {
    if (storeDown) {
      return CompletableFuture.failedFuture(new IllegalStateException("the store is unreachable"));
    }
    CompletableFuture<Void> done = new CompletableFuture<>();
    Runnable apply =
        () -> {
          change.run();
          done.complete(null);
          nodes.forEach(node -> time.schedule(READ_MILLIS * 500, node::readTable));
        };
    if (delayed) {
      delayedChanges.add(apply);
    } else {
      apply.run();
    }
    return done;
  }

  private CompletableFuture<Boolean> isInProgress(SuspectAttempt attempt) {
    if (ownersUnreachable) {
      return CompletableFuture.completedFuture(false);
    }
    String owner = AttemptIds.nodeOf(attempt.id());
    return CompletableFuture.completedFuture(
        nodes.stream()
            .anyMatch(
                node ->
                    node.id.equals(owner) && node.quarantine.isAttemptInProgress(attempt.id())));
  }

  final class Node extends EmptySuspectTable {
    private final VirtualExecutor executor = new VirtualExecutor(time);
    private final Quarantine quarantine;
    final String id = "node-" + ++startedNodes;
    private BackendTable backends = BackendTable.EMPTY;
    private boolean running = true;
    boolean readsBackends = true;

    Node() {
      QuarantineContext context =
          new QuarantineContext(
              executor,
              address -> CompletableFuture.completedFuture(Reachability.ACCEPTS),
              () -> new Snapshot<>(backends, 0, time.monotonicMillis()),
              this,
              id,
              this::broadcast,
              parts -> {},
              SuspectFleet.this::isInProgress,
              () -> coordinators.contains(id),
              time);
      quarantine =
          new Quarantine(
              context,
              new Section<>(Suspects.NONE),
              new Section<>(SuspectParts.NONE),
              new QuarantineTimes(3_600_000, 5_000));
      quarantine.start();
    }

    void kill() {
      running = false;
      executor.shutdown();
      nodes.remove(this);
    }

    void readBackends() {
      if (!readsBackends) {
        return;
      }
      List<Backend> read = new ArrayList<>();
      records.forEach((server, startedAt) -> read.add(backend(server, startedAt)));
      backends = backends.with(read);
    }

    private Backend backend(String server, long startedAt) {
      return new Backend(
          server + "@" + startedAt, "pool", addressOf(server), "zone", 4, false, Map.of());
    }

    void readTable() {
      if (!running || storeDown) {
        return;
      }
      List<Suspect> suspects = new ArrayList<>();
      List<SuspectAttempt> attempts = new ArrayList<>();
      List<TrialClaim> trials = new ArrayList<>();
      for (Object row : rows.values()) {
        if (row instanceof Suspect suspect) {
          suspects.add(suspect);
        } else if (row instanceof SuspectAttempt attempt) {
          attempts.add(attempt);
        } else if (row instanceof TrialClaim trial) {
          trials.add(trial);
        }
      }
      quarantine.updateTrials(trials);
      quarantine.updateFromTable(suspects, attempts);
    }

    private void broadcast(List<Suspect> suspects) {
      List<Suspect> message = List.copyOf(suspects);
      for (Node other : List.copyOf(nodes)) {
        if (other != this && !datagramsLost) {
          other.executor.after(1_000, () -> other.quarantine.receive(message));
        }
      }
    }

    void send(CallerRequest request, String backend) {
      quarantine.attemptStarting(request, TENANT, backend);
      run(1);
    }

    /** Reports that the connection of an attempt of another request was closed. */
    void lose(CallerRequest request, String backend) {
      InetSocketAddress address = addressOf(backend.substring(0, backend.indexOf('@')));
      quarantine.attemptLost(
          new LostAttempt(
              backend, address, request, TENANT, 0, LostAttempt.Loss.CLOSED, 0, false, 0));
      run(1);
    }

    /** Reports that the guilty request is about to be sent, as the request path does. */
    Optional<SuspectAttempt> send(String backend) {
      Optional<SuspectAttempt> attempt = quarantine.attemptStarting(guilty(), TENANT, backend);
      run(1);
      return attempt;
    }

    /** Sends a request with the contents of the guilty one, unless it is refused. */
    boolean sendIfPermitted(String requestId, String backend) {
      CallerRequest request = Requests.of(requestId, "/a", "guilty");
      if (refuses(request) || !quarantine.mayBeSent(request, TENANT)) {
        return false;
      }
      send(request, backend);
      return true;
    }

    /** Reports that a request did not leave the node. */
    void reportNotSent(String requestId) {
      quarantine.attemptNotSent(Requests.of(requestId, "/a", "guilty"), TENANT);
    }

    /** Returns why the guilty request is refused. */
    Optional<QuarantinedRequest> refusal() {
      return quarantine.quarantined(guilty(), TENANT);
    }

    /** Concludes an attempt that its backend did not run: refused, rejected or withdrawn. */
    void concludeNotRun(Optional<SuspectAttempt> attempt) {
      attempt.ifPresent(each -> quarantine.attemptConcluded(each, AttemptOutcome.NOT_LOST));
      run(1);
    }

    /** Concludes an attempt that was lost. */
    void lose(Optional<SuspectAttempt> attempt, String backend, LostAttempt.Loss loss) {
      AttemptOutcome outcome =
          loss == LostAttempt.Loss.CLOSED ? AttemptOutcome.REPORTED : AttemptOutcome.UNKNOWN;
      attempt.ifPresent(each -> quarantine.attemptConcluded(each, outcome));
      InetSocketAddress address = addressOf(backend.substring(0, backend.indexOf('@')));
      quarantine.attemptLost(
          new LostAttempt(backend, address, guilty(), TENANT, 0, loss, 0, false, 0));
      run(1);
    }

    /** Loses a response that the incarnation after the intended one had begun. */
    void loseResponseOfNext(Optional<SuspectAttempt> attempt, String backend) {
      attempt.ifPresent(each -> quarantine.attemptConcluded(each, AttemptOutcome.REPORTED));
      InetSocketAddress address = addressOf(backend.substring(0, backend.indexOf('@')));
      long connectedAtMillis = time.monotonicMillis() - 400;
      quarantine.attemptLost(
          new LostAttempt(
              backend,
              address,
              guilty(),
              TENANT,
              350,
              LostAttempt.Loss.CLOSED,
              connectedAtMillis,
              true,
              0));
      run(1);
    }

    /** Reports a successful response to the guilty request. */
    void recordAnswer() {
      quarantine.requestAnswered(guilty(), TENANT);
      run(1);
    }

    /** Reports that an incarnation has ended, as another node has found. */
    void markEnded(String backend) {
      backends.find(backend).markEnded();
    }

    /** Reports a response that shows that an incarnation is alive. */
    void recordAlive(String backend) {
      backends.find(backend).recordAlive(time.monotonicMillis());
    }

    void release() {
      quarantine.release(fingerprint());
    }

    boolean refuses() {
      return refuses(guilty());
    }

    boolean refuses(CallerRequest request) {
      return quarantine.quarantined(request, TENANT).isPresent();
    }

    /** Returns the weight of the crashes that count against the guilty request on this node. */
    int knownWeight() {
      return quarantine.heaviest(64).stream()
          .filter(suspect -> suspect.fingerprint().equals(fingerprint()))
          .mapToInt(Suspect::weight)
          .sum();
    }

    @Override
    public CompletableFuture<Void> record(Suspect suspect) {
      return change(delayingWrites, () -> rows.put("suspect/" + suspect.fingerprint(), suspect));
    }

    @Override
    public CompletableFuture<Void> remove(RequestFingerprint fingerprint) {
      return change(delayingRemovals, () -> rows.remove("suspect/" + fingerprint));
    }

    /** The condition is checked when the delayed write takes effect, as the store does. */
    @Override
    public CompletableFuture<Void> claimTrial(TrialClaim claim) {
      return change(delayingWrites, () -> rows.putIfAbsent(keyOf(claim), claim));
    }

    @Override
    public CompletableFuture<Void> removeTrial(TrialClaim claim) {
      return change(delayingRemovals, () -> rows.remove(keyOf(claim)));
    }

    private static String keyOf(TrialClaim claim) {
      return "suspect-trial/" + claim.fingerprint() + "/" + claim.number();
    }

    @Override
    public CompletableFuture<Void> recordAttempt(SuspectAttempt attempt) {
      return change(delayingWrites, () -> rows.put(keyOf(attempt), attempt));
    }

    @Override
    public CompletableFuture<Void> removeAttempt(SuspectAttempt attempt) {
      return change(delayingRemovals, () -> rows.remove(keyOf(attempt)));
    }

    private static String keyOf(SuspectAttempt attempt) {
      return "suspect-attempt/"
          + attempt.fingerprint()
          + "/"
          + attempt.backend()
          + "/"
          + attempt.id();
    }
  }

  private InetSocketAddress addressOf(String server) {
    return new InetSocketAddress(
        InetAddress.getLoopbackAddress(), 7_000 + formerIds.getOrDefault(server, server).charAt(0));
  }
}
