package org.lockdale.soak.run;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.lockdale.soak.judge.History;
import org.lockdale.soak.judge.Note;
import org.lockdale.soak.link.LinkProxy;
import org.lockdale.soak.plan.Deployment;
import org.lockdale.soak.standin.Addresses;
import org.lockdale.soak.standin.Guard;
import org.lockdale.soak.standin.ServerBase;
import org.lockdale.soak.standin.StandInProcess;
import org.lockdale.soak.standin.StandardStreams;

/** Starts the processes of a run, each behind the proxy, and reads what the stand-ins say. */
final class Processes implements Closeable {

  /** Model that all engines serve. */
  static final String MODEL = "model-one";

  private static final int NODES_GROUP = 1;
  private static final int SERVERS_GROUP = 2;
  private static final int STORES_GROUP = 3;
  private static final int STORE_LINKS_GROUP = 4;

  /** How a server shows itself in the store. */
  enum Visibility {
    READY,
    DRAINING,
    /** It has no entry, whatever its heartbeats say. */
    HIDDEN
  }

  /** A server as it runs now, with the row that it said last. */
  record Server(
      String id,
      long startedAtMillis,
      ManagedProcess process,
      long lastBeatMillis,
      Visibility visibility,
      String row) {

    Server withBeat(long millis, String newRow) {
      return new Server(id, startedAtMillis, process, millis, visibility, newRow);
    }

    Server with(Visibility newVisibility) {
      return new Server(id, startedAtMillis, process, lastBeatMillis, newVisibility, row);
    }

    /** Returns the name of this life in notes. */
    String instance() {
      return ServerBase.nameOf(id, startedAtMillis);
    }

    /** Returns the version of the weights that it told last, or 0 for none. */
    long weights() {
      return StandardStreams.parse(row, ObjectNode.class)
          .path("models")
          .path(0)
          .path("version")
          .asLong();
    }
  }

  private final Addresses addresses = Addresses.claim();
  private final LinkProxy proxy;
  private final Deployment deployment;
  private final NodeBuilds builds;
  private final Map<String, String> bounds;
  private final Path directory;
  private final NoteLog notes;
  private final Map<String, InetSocketAddress> reals = new HashMap<>();
  private final Map<String, ManagedProcess> all = new ConcurrentHashMap<>();
  private boolean closed;
  private final Map<String, Server> servers = new ConcurrentHashMap<>();
  private final Map<String, Integer> incarnations = new ConcurrentHashMap<>();

  /** Ids of the notes that nodes run a former build. */
  private final Map<String, Long> formerNotes = new ConcurrentHashMap<>();

  private volatile @Nullable StoreControl store;

  Processes(
      Deployment deployment,
      NodeBuilds builds,
      Map<String, String> bounds,
      Path directory,
      NoteLog notes) {
    this.deployment = deployment;
    this.builds = builds;
    this.bounds = bounds;
    this.directory = directory;
    this.notes = notes;
    this.proxy = new LinkProxy(notes::heldUp);
    place(deployment.nodeNames(), NODES_GROUP);
    place(deployment.serverNames(), SERVERS_GROUP);
    place(List.of(Deployment.STORE, Deployment.CACHE_STORE), STORES_GROUP);
    deployment.nodeNames().forEach(this::proxyNode);
    List<String> servers = new ArrayList<>(deployment.serverNames());
    servers.add(Deployment.CACHE_STORE);
    for (String server : servers) {
      proxy.listen(null, server, Addresses.proxied(realOf(server)), realOf(server));
    }
  }

  private void proxyNode(String node) {
    for (int port : List.of(Addresses.SERVICE_PORT, Addresses.READY_PORT)) {
      proxy.listen(Deployment.CALLERS, node, proxied(node, port), at(node, port));
    }
    InetSocketAddress peers = at(node, Addresses.PEERS_PORT);
    proxy.listen(null, node, Addresses.proxied(peers), peers);
    proxy.listenForDatagrams(node, Addresses.proxied(peers), peers);
    proxy.listen(node, Deployment.STORE, storeOf(node), realOf(Deployment.STORE));
  }

  /** Returns the address by which only one node reaches the store. */
  private InetSocketAddress storeOf(String node) {
    int number = deployment.nodeNames().indexOf(node) + 1;
    return Addresses.proxied(addresses.real(STORE_LINKS_GROUP, number, Addresses.SERVICE_PORT));
  }

  private void place(List<String> names, int group) {
    int number = 0;
    for (String name : names) {
      reals.put(name, addresses.real(group, ++number, Addresses.SERVICE_PORT));
    }
  }

  private InetSocketAddress at(String name, int port) {
    return new InetSocketAddress(realOf(name).getAddress(), port);
  }

  private InetSocketAddress realOf(String name) {
    return Objects.requireNonNull(reals.get(name), name);
  }

  /** Returns the address by which callers reach a port of a process. */
  InetSocketAddress proxied(String name, int port) {
    return Addresses.proxied(at(name, port));
  }

  LinkProxy proxy() {
    return proxy;
  }

  StoreControl store() {
    return Objects.requireNonNull(store);
  }

  ManagedProcess process(String name) {
    return Objects.requireNonNull(all.get(name), name);
  }

  List<ManagedProcess> running() {
    return new ArrayList<>(all.values());
  }

  Map<String, Server> servers() {
    return servers;
  }

  void startStore() throws IOException {
    StoreControl[] control = new StoreControl[1];
    ManagedProcess process =
        standIn(
            Deployment.STORE,
            line -> {
              while (control[0] == null) {
                Thread.onSpinWait();
              }
              control[0].hear(line);
            },
            "store");
    control[0] = new StoreControl(process);
    store = control[0];
  }

  void startCacheStore() throws IOException {
    standIn(Deployment.CACHE_STORE, line -> {}, "cache-store", Deployment.CACHE_STORE, "1");
  }

  /** Starts a server under a new id. */
  void startServer(String name, long weights) throws IOException {
    startServer(name, name + "." + incarnations.merge(name, 1, Integer::sum), weights);
  }

  /** Starts a server again under the id that it had, with the weights that it had. */
  void startServerAgain(String name) throws IOException {
    Server before = Objects.requireNonNull(servers.get(name));
    startServer(name, before.id(), Math.max(1, before.weights()));
  }

  private void startServer(String name, String id, long weights) throws IOException {
    long startedAt = System.currentTimeMillis();
    String start = Long.toString(startedAt);
    String instance = ServerBase.nameOf(id, startedAt);
    String service = serviceOf(name);
    ManagedProcess process =
        name.startsWith("engine")
            ? standIn(
                name,
                line -> hear(name, instance, line),
                "engine",
                id,
                start,
                service,
                MODEL,
                Long.toString(weights))
            : standIn(name, line -> hear(name, instance, line), "plain", id, start, service);
    servers.put(
        name,
        new Server(id, startedAt, process, StandardStreams.nowMillis(), Visibility.READY, "{}"));
  }

  private static String serviceOf(String name) {
    return name.startsWith("engine") ? "engines" : name.startsWith("plain") ? "plain" : "spare";
  }

  private ManagedProcess standIn(
      String name, Consumer<String> output, String kind, String... arguments) throws IOException {
    InetSocketAddress real = realOf(name);
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xmx64m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    command.add(StandInProcess.class.getName());
    command.addAll(List.of(kind, real.getAddress().getHostAddress(), "" + real.getPort()));
    command.addAll(List.of(arguments));
    return start(name, builds.root(), command, output);
  }

  /** Starts a gateway node. */
  void startNode(String name) throws IOException {
    Path settings = directory.resolve(name + ".yaml");
    Map<String, String> values = new HashMap<>(bounds);
    values.put("nodeName", name);
    values.put("zone", "zone-a");
    values.put("ip", realOf(name).getAddress().getHostAddress());
    values.put("limits.linkMbps", "1000.0");
    values.put("limits.cpuCores", "1");
    values.put("listen.front", Addresses.text(at(name, Addresses.SERVICE_PORT)));
    values.put("listen.ready", Addresses.text(at(name, Addresses.READY_PORT)));
    values.put("internalPortRange.0", Integer.toString(Addresses.PEERS_PORT));
    values.put("platform.address", Addresses.text(storeOf(name)));
    NodeBuilds.Build build = builds.next(name);
    build.program().writeSettings(settings, values);
    noteBuild(name, build);
    notes.add(new Note.Started(StandardStreams.nowMillis(), name));
    ManagedProcess node =
        start(
            name,
            build.program().root(),
            build.program().command(settings, values),
            new NodeOutput(name, directory.resolve(name + ".out"), notes));
    process(Deployment.CACHE_STORE).say(Guard.COMMAND + node.id());
  }

  private void noteBuild(String node, NodeBuilds.Build build) {
    Long before = formerNotes.remove(node);
    if (before != null) {
      notes.disruptionEnds(before);
    }
    if (build.isFormer()) {
      formerNotes.put(node, notes.disruptionBegins(History.former(node), false));
    }
  }

  /** Once closed, nothing is started any more: a fault that is due later would leave it behind. */
  private synchronized ManagedProcess start(
      String name, Path root, List<String> command, Consumer<String> output) throws IOException {
    if (closed) {
      throw new IOException("the run has ended, so " + name + " is not started");
    }
    ManagedProcess process =
        ManagedProcess.start(name, command, root, directory.resolve(name + ".log"), output);
    all.put(name, process);
    proxy.setProcess(name, process.id());
    return process;
  }

  private void hear(String name, String instance, String line) {
    if (line.startsWith(StandardStreams.NOTE)) {
      Note note = StandardStreams.parse(line.substring(StandardStreams.NOTE.length()), Note.class);
      notes.add(note);
      if (note instanceof Note.Crashed) {
        process(name).expectEnd();
      }
    } else if (line.startsWith(StandardStreams.ROW)) {
      beat(name, instance, line.substring(StandardStreams.ROW.length()));
    }
  }

  private void beat(String name, String instance, String row) {
    Server server =
        servers.computeIfPresent(
            name,
            (key, known) ->
                known.instance().equals(instance)
                    ? known.withBeat(StandardStreams.nowMillis(), row)
                    : known);
    if (server != null
        && server.instance().equals(instance)
        && server.visibility() != Visibility.HIDDEN) {
      store().putIfChanged("servers", server.id(), rowOf(name, server));
    }
  }

  private String rowOf(String name, Server server) {
    return StandardStreams.parse(server.row(), ObjectNode.class)
        .put("service", serviceOf(name))
        .put("address", Addresses.text(proxied(name, Addresses.SERVICE_PORT)))
        .put("zone", "zone-a")
        .put("version", "1")
        .put("state", server.visibility() == Visibility.READY ? "ready" : "draining")
        .toString();
  }

  /** Says that a server leaves, or removes its entry; the result is when that was acknowledged. */
  CompletableFuture<Long> withdraw(String name, boolean announced) {
    Visibility visibility = announced ? Visibility.DRAINING : Visibility.HIDDEN;
    Server server =
        Objects.requireNonNull(
            servers.computeIfPresent(name, (key, known) -> known.with(visibility)));
    return announced
        ? store().put("servers", server.id(), rowOf(name, server))
        : store().remove("servers", server.id());
  }

  @Override
  public synchronized void close() {
    closed = true;
    all.values().forEach(ManagedProcess::close);
    all.values().forEach(ManagedProcess::awaitKilled);
    proxy.close();
  }
}
