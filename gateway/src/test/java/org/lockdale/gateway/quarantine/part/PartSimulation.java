package org.lockdale.gateway.quarantine.part;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.gateway.quarantine.VirtualExecutor;
import org.lockdale.gateway.quarantine.part.PartRequests.Request;
import org.lockdale.gateway.table.TableRowChange;

/**
 * Nodes that send requests to servers, some of which crash as soon as they begin to answer requests
 * with certain prompt parts, in virtual time.
 */
final class PartSimulation {

  private static final int RUN_MILLIS = 40_000;
  private static final int FIRST_GUILTY_MILLIS = 6_000;
  private static final int LAST_GUILTY_MILLIS = 36_000;
  private static final int CONVERGENCE_MILLIS = 3_000;

  /** About twenty requests run at a server at the same time. */
  private static final double REQUESTS_PER_SERVER_PER_SECOND = 25;

  private static final int MEAN_ANSWER_MILLIS = 800;
  private final Random random;
  private final PartPlan plan;
  private final VirtualTime time = new VirtualTime();
  private final List<Node> nodes = new ArrayList<>();
  private final List<Server> servers = new ArrayList<>();
  private final Map<PromptPartKey, PartSuspect> rows = new HashMap<>();
  private final PartCounts counts = new PartCounts(CONVERGENCE_MILLIS);
  private final PartRequests requests;
  private boolean storeDown;

  private static final class Run {
    private final Node node;
    private final Request request;
    private long begunAtMillis = Long.MAX_VALUE;
    private boolean ended;
    private final int repeatsLeft;

    Run(Node node, Request request, int repeatsLeft) {
      this.node = node;
      this.request = request;
      this.repeatsLeft = repeatsLeft;
    }

    long arrivedMillis(long nowMillis) {
      return Math.max(0, nowMillis - begunAtMillis);
    }
  }

  private final class Server {
    private final int number;
    private int incarnation = 1;
    private boolean up = true;
    private List<Run> runs = new ArrayList<>();
    private long aliveAtMillis;

    Server(int number) {
      this.number = number;
    }

    String id() {
      return "i-" + number + "@" + incarnation;
    }

    void start(Run run) {
      runs.add(run);
      int current = incarnation;
      time.schedule((20 + random.nextInt(80)) * 1_000L, () -> begin(run, current));
    }

    private void begin(Run run, int current) {
      if (run.ended || incarnation != current || !up) {
        return;
      }
      run.begunAtMillis = time.monotonicMillis();
      if (run.request.guilty() != null) {
        time.schedule(
            (40 + random.nextInt(110)) * 1_000L, () -> crashOnce(current, run.request.guilty()));
        return;
      }
      time.schedule(PartQuarantine.SURVIVED_MILLIS * 1_000, () -> survive(run, current));
      long duration = 50 + (long) (-Math.log(1 - random.nextDouble()) * MEAN_ANSWER_MILLIS);
      time.schedule(duration * 1_000, () -> complete(run, current));
    }

    private void survive(Run run, int current) {
      if (!run.ended && incarnation == current && up) {
        run.node.quarantine.requestAnswered(run.request.request(), id());
      }
    }

    private void crashOnce(int current, String guilty) {
      if (incarnation == current && up) {
        counts.crashOf(guilty, time.monotonicMillis());
        crash();
      }
    }

    private void complete(Run run, int current) {
      if (run.ended || incarnation != current || !up) {
        return;
      }
      run.ended = true;
      runs.remove(run);
      aliveAtMillis = time.monotonicMillis();
      run.node.quarantine.requestAnswered(run.request.request(), id());
    }

    void crash() {
      counts.crash();
      up = false;
      String ended = id();
      List<Run> lost = runs;
      runs = new ArrayList<>();
      lost.forEach(run -> lose(run, ended));
      time.schedule(
          plan.troubles().restartMillis() * 1_000L,
          () -> {
            incarnation++;
            up = true;
          });
    }

    private void lose(Run run, String backend) {
      run.ended = true;
      if (run.request.isSound()) {
        counts.lostSound();
      }
      long arrived = run.arrivedMillis(time.monotonicMillis());
      run.node.executor.after(
          (1 + random.nextInt(5)) * 1_000L,
          () -> {
            run.node.quarantine.recordCrash(
                run.request.request(),
                run.request.caller(),
                run.request.request().id().hashCode(),
                arrived,
                backend);
            if (run.repeatsLeft > 0) {
              sendSomewhere(run.request, run.repeatsLeft - 1);
            }
          });
    }

    /** Breaks the connection of one request, while the server goes on. */
    void resetOne() {
      if (up && !runs.isEmpty()) {
        Run run = runs.remove(random.nextInt(runs.size()));
        lose(run, id());
      }
    }
  }

  /** Event loop with access to delays in microseconds. */
  private static final class Loop extends VirtualExecutor {
    Loop(VirtualTime time) {
      super(time);
    }

    @Override
    protected void after(long micros, Runnable task) {
      super.after(micros, task);
    }
  }

  private final class Node implements PartTable {
    private final int number;
    private Loop executor = new Loop(time);
    private PartQuarantine quarantine = create();
    private boolean isolated;
    private long disturbedUntilMillis = -CONVERGENCE_MILLIS;

    Node(int number) {
      this.number = number;
    }

    private PartQuarantine create() {
      PartContext context =
          new PartContext(
              executor,
              new Section<>(SuspectParts.NONE),
              this,
              this::broadcast,
              () -> number == coordinator(),
              time);
      PartQuarantine created = new PartQuarantine(context, 3_600_000);
      executor.scheduleAtFixedRate(
          () -> {
            created.retractCrashes(PartSimulation.this::lastAliveAtMillis);
            created.tick(Map.of());
          },
          250,
          250,
          TimeUnit.MILLISECONDS);
      return created;
    }

    void restart() {
      executor.shutdown();
      executor = new Loop(time);
      quarantine = create();
      disturbedUntilMillis = time.monotonicMillis();
      readTable();
    }

    private void broadcast(List<PartSuspect> parts) {
      List<PartSuspect> message = List.copyOf(parts);
      for (Node other : nodes) {
        if (other != this && !isolated && !other.isolated && random.nextInt(50) > 0) {
          other.executor.after(
              (1 + random.nextInt(5)) * 1_000L, () -> other.quarantine.receive(message));
        }
      }
    }

    private void readTable() {
      if (!storeDown && !isolated) {
        List<PartSuspect> read = List.copyOf(rows.values());
        executor.after((5 + random.nextInt(200)) * 1_000L, () -> quarantine.updateFromTable(read));
      }
    }

    private CompletableFuture<Void> change(Runnable change) {
      if (storeDown || isolated) {
        return CompletableFuture.failedFuture(new IllegalStateException("unreachable"));
      }
      change.run();
      nodes.forEach(Node::readTable);
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> recordPart(PartSuspect suspect) {
      return change(() -> rows.put(suspect.part(), suspect));
    }

    @Override
    public CompletableFuture<Void> removePart(PromptPartKey part) {
      return change(() -> rows.remove(part));
    }

    @Override
    public Optional<PartSuspect> readPart(TableRowChange row) {
      throw new UnsupportedOperationException();
    }
  }

  PartSimulation(PartPlan plan, long seed) {
    this.plan = plan;
    this.random = new Random(seed);
    this.requests = new PartRequests(random, plan);
    for (int number = 0; number < plan.nodes(); number++) {
      nodes.add(new Node(number));
    }
    for (int number = 0; number < plan.servers(); number++) {
      servers.add(new Server(number));
    }
  }

  private int coordinator() {
    return nodes.stream()
        .filter(node -> !node.isolated)
        .mapToInt(node -> node.number)
        .min()
        .orElse(0);
  }

  private long lastAliveAtMillis(String key) {
    return servers.stream()
        .filter(server -> server.up && server.id().equals(key))
        .mapToLong(server -> server.aliveAtMillis)
        .findFirst()
        .orElse(Long.MIN_VALUE);
  }

  PartCounts.Result run() {
    double perSecond = plan.servers() * REQUESTS_PER_SERVER_PER_SECOND;
    repeatedly(
        1_000 / perSecond,
        0,
        RUN_MILLIS,
        () -> sendSomewhere(requests.sound(), plan.callers().repeats()));
    for (int part = 0; part < plan.guilty().parts(); part++) {
      String id = "bad" + part;
      repeatedly(
          1_000 / plan.guilty().perSecond(),
          FIRST_GUILTY_MILLIS,
          LAST_GUILTY_MILLIS,
          () -> sendSomewhere(requests.guilty(id), plan.callers().repeats()));
    }
    if (plan.troubles().waveShare() > 0) {
      repeatedly(plan.troubles().waveGapMillis(), 2_000, RUN_MILLIS, this::crashWave);
    }
    if (plan.troubles().resetsPerSecond() > 0) {
      repeatedly(
          1_000 / plan.troubles().resetsPerSecond(),
          0,
          RUN_MILLIS,
          () -> servers.get(random.nextInt(servers.size())).resetOne());
    }
    if (plan.troubles().disturbed()) {
      repeatedly(4_000, 1_000, RUN_MILLIS, this::disturb);
    }
    time.runMillis(RUN_MILLIS);
    return counts.result();
  }

  /** Runs an action at random times between two moments. */
  private void repeatedly(double meanMillis, long fromMillis, long toMillis, Runnable action) {
    long delay = (long) (-Math.log(1 - random.nextDouble()) * meanMillis * 1_000);
    time.schedule(
        fromMillis * 1_000 + delay,
        () -> {
          if (time.monotonicMillis() < toMillis) {
            action.run();
            repeatedly(meanMillis, 0, toMillis, action);
          }
        });
  }

  private void crashWave() {
    List<Server> up = new ArrayList<>(servers.stream().filter(server -> server.up).toList());
    Collections.shuffle(up, random);
    int number = (int) Math.round(plan.troubles().waveShare() * servers.size());
    up.stream().limit(number).toList().forEach(Server::crash);
  }

  private void disturb() {
    Node node = nodes.get(random.nextInt(nodes.size()));
    int kind = random.nextInt(3);
    if (kind == 0) {
      node.restart();
    } else if (kind == 1 && !node.isolated) {
      node.isolated = true;
      time.schedule(
          3_000_000,
          () -> {
            node.isolated = false;
            node.disturbedUntilMillis = time.monotonicMillis();
            node.readTable();
          });
    } else if (!storeDown) {
      storeDown = true;
      time.schedule(
          4_000_000,
          () -> {
            storeDown = false;
            nodes.forEach(Node::readTable);
          });
    }
  }

  private void sendSomewhere(Request request, int repeats) {
    Node node = nodes.get(random.nextInt(nodes.size()));
    boolean held = node.quarantine.heldPart(request.request(), request.caller()).isPresent();
    boolean sent = !held && node.quarantine.mayBeSent(request.request(), request.caller());
    List<Server> up = servers.stream().filter(server -> server.up).toList();
    countIfComparable(request, sent && !up.isEmpty());
    if (request.isSound()) {
      counts.sound(!sent);
    }
    if (!sent || up.isEmpty()) {
      return;
    }
    if (!request.isSound()) {
      long now = time.monotonicMillis();
      boolean inTouch = !node.isolated && now - node.disturbedUntilMillis > CONVERGENCE_MILLIS;
      counts.guiltySend(request.guilty(), inTouch, now);
    }
    up.get(random.nextInt(up.size())).start(new Run(node, request, repeats));
  }

  private void countIfComparable(Request request, boolean begun) {
    if (requests.isComparable(request)) {
      long now = time.monotonicMillis();
      counts.comparable(begun, now < FIRST_GUILTY_MILLIS, now);
    }
  }
}
