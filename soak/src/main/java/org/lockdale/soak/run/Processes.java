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
import org.lockdale.soak.judge.SoftwareVersions;
import org.lockdale.soak.link.LinkProxy;
import org.lockdale.soak.plan.Deployment;
import org.lockdale.soak.standin.Addresses;
import org.lockdale.soak.standin.NodeReaper;
import org.lockdale.soak.standin.ServerBase;
import org.lockdale.soak.standin.StandInProcess;
import org.lockdale.soak.standin.StandardStreams;

/** Starts the processes of a run, each behind the proxy, and handles the stand-ins' output. */
final class Processes implements Closeable {

  /** Model that all engines serve. */
  static final String MODEL = "model-one";

  private static final int NODES_GROUP = 1;
  private static final int STORES_GROUP = 3;

  /** State of a server's entry in the store. */
  enum Visibility {
    READY,
    DRAINING,
    /** The server has no entry, even if it sends heartbeats. */
    HIDDEN
  }

  /**
   * The current incarnation of a server.
   *
   * @param id id of the server
   * @param startedAtMillis Unix time of its start
   * @param process its process
   * @param lastBeatMillis time of its last heartbeat, or of its start
   * @param visibility state of its entry in the store
   * @param row JSON of its last heartbeat; an empty object before the first one
   */
  record Server(
      String id,
      long startedAtMillis,
      ManagedProcess process,
      long lastBeatMillis,
      Visibility visibility,
      String row) {

    Server withHeartbeat(long millis, String newRow) {
      return new Server(id, startedAtMillis, process, millis, visibility, newRow);
    }

    Server withVisibility(Visibility newVisibility) {
      return new Server(id, startedAtMillis, process, lastBeatMillis, newVisibility, row);
    }

    /** Returns the name of this incarnation in notes. */
    String instance() {
      return ServerBase.instanceName(id, startedAtMillis);
    }

    /** Returns the version of the weights that it reported last, or 0 for none. */
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
  private final NodeBuilds nodeBuilds;
  private final Map<String, String> settingsValues;
  private final Path directory;
  private final NoteLog notes;
  private final Map<String, InetSocketAddress> realAddresses = new HashMap<>();
  private final Map<String, ManagedProcess> processes = new ConcurrentHashMap<>();
  private boolean closed;
  private final Map<String, Server> servers = new ConcurrentHashMap<>();
  private final Map<String, Integer> idCounts = new ConcurrentHashMap<>();

  /** Ids of the recorded disruptions of nodes that run the previous build, by node. */
  private final Map<String, Long> previousBuildDisruptions = new ConcurrentHashMap<>();

  private volatile @Nullable StoreControl store;

  Processes(
      Deployment deployment,
      NodeBuilds nodeBuilds,
      Map<String, String> settingsValues,
      Path directory,
      NoteLog notes) {
    this.deployment = deployment;
    this.nodeBuilds = nodeBuilds;
    this.settingsValues = settingsValues;
    this.directory = directory;
    this.notes = notes;
    this.proxy = new LinkProxy(notes::recordForwardingDelay);
    assignAddresses(deployment.nodeNames(), NODES_GROUP);
    assignAddresses(deployment.serverNames(), Addresses.SERVERS_GROUP);
    assignAddresses(List.of(Deployment.STORE, Deployment.CACHE_STORE), STORES_GROUP);
    deployment.nodeNames().forEach(this::listenForNode);
    InetSocketAddress cacheStore = realAddress(Deployment.CACHE_STORE);
    proxy.listen(null, Deployment.CACHE_STORE, Addresses.proxiedAddress(cacheStore), cacheStore);
  }

  private void listenForNode(String node) {
    for (int port : List.of(Addresses.SERVICE_PORT, Addresses.READY_PORT)) {
      proxy.listen(Deployment.CALLERS, node, proxiedAddress(node, port), realAddressAt(node, port));
    }
    InetSocketAddress peers = realAddressAt(node, Addresses.PEERS_PORT);
    proxy.listen(null, node, Addresses.proxiedAddress(peers), peers);
    proxy.listenForDatagrams(node, Addresses.proxiedAddress(peers), peers);
    int number = numberOf(node);
    proxy.listen(node, Deployment.STORE, storeAddressFor(node), storeReaderAddress(number));
    proxy.rewriteServerAddresses(node, number);
    for (String server : deployment.serverNames()) {
      InetSocketAddress real = realAddress(server);
      proxy.listenForPair(node, server, Addresses.serverAddressFor(number, real), real);
    }
  }

  private int numberOf(String node) {
    return deployment.nodeNames().indexOf(node) + 1;
  }

  /** Returns the real address of the store at which it serves only the given node. */
  private InetSocketAddress storeReaderAddress(int number) {
    return addresses.realAddress(Addresses.STORE_LINKS_GROUP, number, Addresses.SERVICE_PORT);
  }

  /** Returns the proxied address of the store that is used only by the given node. */
  private InetSocketAddress storeAddressFor(String node) {
    return Addresses.proxiedAddress(storeReaderAddress(numberOf(node)));
  }

  private void assignAddresses(List<String> names, int group) {
    int number = 0;
    for (String name : names) {
      realAddresses.put(name, addresses.realAddress(group, ++number, Addresses.SERVICE_PORT));
    }
  }

  private InetSocketAddress realAddressAt(String name, int port) {
    return new InetSocketAddress(realAddress(name).getAddress(), port);
  }

  private InetSocketAddress realAddress(String name) {
    return Objects.requireNonNull(realAddresses.get(name), name);
  }

  /** Returns the proxied address of a port of a process. */
  InetSocketAddress proxiedAddress(String name, int port) {
    return Addresses.proxiedAddress(realAddressAt(name, port));
  }

  LinkProxy proxy() {
    return proxy;
  }

  StoreControl store() {
    return Objects.requireNonNull(store);
  }

  ManagedProcess process(String name) {
    return Objects.requireNonNull(processes.get(name), name);
  }

  List<ManagedProcess> processes() {
    return new ArrayList<>(processes.values());
  }

  Map<String, Server> servers() {
    return servers;
  }

  void startStore() throws IOException {
    StoreControl[] control = new StoreControl[1];
    ManagedProcess process =
        startStandIn(
            Deployment.STORE,
            line -> {
              while (control[0] == null) {
                Thread.onSpinWait();
              }
              control[0].receive(line);
            },
            "store",
            storeReaders());
    control[0] = new StoreControl(process);
    store = control[0];
  }

  private String[] storeReaders() {
    return deployment.nodeNames().stream()
        .map(node -> storeReaderAddress(numberOf(node)).getAddress().getHostAddress())
        .toArray(String[]::new);
  }

  void startCacheStore() throws IOException {
    startStandIn(Deployment.CACHE_STORE, line -> {}, "cache-store", Deployment.CACHE_STORE, "1");
  }

  /** Starts a server with a new id. */
  void startServer(String name, long weights) throws IOException {
    startServer(name, nextId(name), weights);
  }

  /** Starts a server with a new id that gives it the specified software version. */
  void startServer(String name, long weights, String softwareVersion) throws IOException {
    String id = nextId(name);
    while (!SoftwareVersions.of(id).equals(softwareVersion)) {
      id = nextId(name);
    }
    startServer(name, id, weights);
  }

  private String nextId(String name) {
    return name + "." + idCounts.merge(name, 1, Integer::sum);
  }

  /** Starts a server again with the id and the weights that it had. */
  void restartServer(String name) throws IOException {
    Server before = Objects.requireNonNull(servers.get(name));
    startServer(name, before.id(), Math.max(1, before.weights()));
  }

  private void startServer(String name, String id, long weights) throws IOException {
    long startedAt = System.currentTimeMillis();
    String start = Long.toString(startedAt);
    String instance = ServerBase.instanceName(id, startedAt);
    String service = serviceOf(name);
    ManagedProcess process =
        name.startsWith("engine")
            ? startStandIn(
                name,
                line -> receive(name, instance, line),
                "engine",
                id,
                start,
                service,
                MODEL,
                Long.toString(weights))
            : startStandIn(
                name, line -> receive(name, instance, line), "plain", id, start, service);
    servers.put(
        name,
        new Server(id, startedAt, process, StandardStreams.nowMillis(), Visibility.READY, "{}"));
  }

  private static String serviceOf(String name) {
    return name.startsWith("engine") ? "engines" : name.startsWith("plain") ? "plain" : "spare";
  }

  private ManagedProcess startStandIn(
      String name, Consumer<String> output, String kind, String... arguments) throws IOException {
    InetSocketAddress real = realAddress(name);
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xmx64m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    command.add(StandInProcess.class.getName());
    command.addAll(List.of(kind, real.getAddress().getHostAddress(), "" + real.getPort()));
    command.addAll(List.of(arguments));
    return start(name, nodeBuilds.root(), command, output);
  }

  /** Starts a gateway node. */
  void startNode(String name) throws IOException {
    Path settings = directory.resolve(name + ".yaml");
    Map<String, String> values = new HashMap<>(settingsValues);
    values.put("nodeName", name);
    values.put("zone", "zone-a");
    values.put("ip", realAddress(name).getAddress().getHostAddress());
    values.put("limits.linkMbps", "1000.0");
    values.put("limits.cpuCores", "1");
    values.put("listen.front", Addresses.format(realAddressAt(name, Addresses.SERVICE_PORT)));
    values.put("listen.ready", Addresses.format(realAddressAt(name, Addresses.READY_PORT)));
    values.put("internalPortRange.0", Integer.toString(Addresses.PEERS_PORT));
    values.put("platform.address", Addresses.format(storeAddressFor(name)));
    NodeBuilds.Build build = nodeBuilds.nextBuild(name);
    build.program().writeSettings(settings, values);
    recordBuild(name, build);
    notes.add(new Note.Started(StandardStreams.nowMillis(), name));
    ManagedProcess node =
        start(
            name,
            build.program().root(),
            build.program().command(settings, values),
            new NodeOutput(name, directory.resolve(name + ".out"), notes));
    process(Deployment.CACHE_STORE).send(NodeReaper.COMMAND + node.pid());
  }

  private void recordBuild(String node, NodeBuilds.Build build) {
    Long disruption = previousBuildDisruptions.remove(node);
    if (disruption != null) {
      notes.recordDisruptionEnd(disruption);
    }
    if (build.isFormer()) {
      previousBuildDisruptions.put(
          node, notes.recordDisruptionStart(History.previousBuild(node), false));
    }
  }

  /**
   * Starts a process. Fails once this is closed, since a process that a pending fault starts after
   * that would outlive the run.
   */
  private synchronized ManagedProcess start(
      String name, Path root, List<String> command, Consumer<String> output) throws IOException {
    if (closed) {
      throw new IOException("the run has ended; " + name + " is not started");
    }
    ManagedProcess process =
        ManagedProcess.start(name, command, root, directory.resolve(name + ".log"), output);
    processes.put(name, process);
    proxy.setProcess(name, process.pid());
    return process;
  }

  private void receive(String name, String instance, String line) {
    if (line.startsWith(StandardStreams.NOTE)) {
      Note note = StandardStreams.parse(line.substring(StandardStreams.NOTE.length()), Note.class);
      notes.add(note);
      if (note instanceof Note.Crashed) {
        process(name).expectExit();
      }
    } else if (line.startsWith(StandardStreams.ROW)) {
      recordHeartbeat(name, instance, line.substring(StandardStreams.ROW.length()));
    }
  }

  private void recordHeartbeat(String name, String instance, String row) {
    Server server =
        servers.computeIfPresent(
            name,
            (key, current) ->
                current.instance().equals(instance)
                    ? current.withHeartbeat(StandardStreams.nowMillis(), row)
                    : current);
    if (server != null
        && server.instance().equals(instance)
        && server.visibility() != Visibility.HIDDEN) {
      store().putIfChanged("servers", server.id(), rowOf(name, server));
    }
  }

  private String rowOf(String name, Server server) {
    return StandardStreams.parse(server.row(), ObjectNode.class)
        .put("service", serviceOf(name))
        .put("address", Addresses.format(proxiedAddress(name, Addresses.SERVICE_PORT)))
        .put("zone", "zone-a")
        .put("version", SoftwareVersions.of(server.id()))
        .put("state", server.visibility() == Visibility.READY ? "ready" : "draining")
        .toString();
  }

  /**
   * Marks the entry of a server as draining, or removes it.
   *
   * @param announced whether the entry is marked; otherwise it is removed
   * @return the time in milliseconds at which the store acknowledged it
   */
  CompletableFuture<Long> withdraw(String name, boolean announced) {
    Visibility visibility = announced ? Visibility.DRAINING : Visibility.HIDDEN;
    Server server =
        Objects.requireNonNull(
            servers.computeIfPresent(name, (key, current) -> current.withVisibility(visibility)));
    return announced
        ? store().put("servers", server.id(), rowOf(name, server))
        : store().remove("servers", server.id());
  }

  @Override
  public synchronized void close() {
    closed = true;
    processes.values().forEach(ManagedProcess::close);
    processes.values().forEach(ManagedProcess::awaitExitAfterKill);
    proxy.close();
  }
}
