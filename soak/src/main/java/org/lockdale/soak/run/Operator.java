package org.lockdale.soak.run;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.lockdale.soak.judge.ConfigurationFacts;
import org.lockdale.soak.judge.Note;
import org.lockdale.soak.judge.RequestKind;
import org.lockdale.soak.judge.RouteFacts;
import org.lockdale.soak.plan.Fault.OperatorChange;
import org.lockdale.soak.standin.StandardStreams;

/** Writes configurations and the target version of the weights into the store. Thread-safe. */
final class Operator {

  /** Host of all routes. */
  static final String HOST = "shop.example";

  /** Tenant whose key is replaced from time to time. */
  static final String CHANGING_TENANT = "tenant-changing";

  /** Key of the tenant that shares no cached prompts with others. */
  static final String ISOLATED_KEY = "key-isolated";

  /** Key that is valid in every configuration. */
  static final String STEADY_KEY = "key-steady";

  private static final String ISOLATED_TENANT = "tenant-isolated";
  private static final long TIMEOUT_MILLIS = 4_000;
  private static final int MAX_ATTEMPTS = 2;

  /** A route; the prefix of its path is its name. */
  private record Route(RequestKind kind, String service) {}

  private final NoteLog notes;
  private final StoreControl store;
  private final String cacheStoreAddress;
  private final Map<String, Route> routes = new LinkedHashMap<>();
  private String changingKey = "key-changing-1";
  private String replacedKey = changingKey;
  private long configurationVersion;
  private long targetVersion = 1;
  private int addedRoutes;

  Operator(NoteLog notes, StoreControl store, String cacheStoreAddress) {
    this.notes = notes;
    this.store = store;
    this.cacheStoreAddress = cacheStoreAddress;
    routes.put("safe", new Route(RequestKind.SAFE, "plain"));
    routes.put("unsafe", new Route(RequestKind.UNSAFE, "plain"));
    routes.put("moving", new Route(RequestKind.UNSAFE, "plain"));
    routes.put("stream", new Route(RequestKind.STREAM, "engines"));
    routes.put("resumable", new Route(RequestKind.RESUMABLE, "engines"));
  }

  /** Returns the current key of the changing tenant. */
  synchronized String changingKey() {
    return changingKey;
  }

  /** Returns the previous key of the changing tenant; the first key until it is replaced. */
  synchronized String replacedKey() {
    return replacedKey;
  }

  /** Returns the name of the route that was added last, even if it was removed since. */
  synchronized String addedRoute() {
    return "added-" + addedRoutes;
  }

  /** Returns the target version of the weights. */
  synchronized long targetVersion() {
    return targetVersion;
  }

  /** Writes the first target version and the first configuration, and waits for the latter. */
  synchronized void writeInitialState() {
    writeTargetVersion();
    writeConfiguration().join();
  }

  /** Applies a change and writes it to the store without waiting. */
  synchronized void apply(OperatorChange change) {
    switch (change) {
      case KEY_REPLACED -> {
        replacedKey = changingKey;
        changingKey = "key-changing-" + (configurationVersion + 1);
      }
      case ROUTE_MOVED -> {
        String service = routes.get("moving").service().equals("plain") ? "spare" : "plain";
        routes.put("moving", new Route(RequestKind.UNSAFE, service));
      }
      case ROUTE_ADDED -> {
        addedRoutes++;
        routes.put(addedRoute(), new Route(RequestKind.SAFE, "spare"));
      }
      case ROUTE_REMOVED -> routes.remove(addedRoute());
      case WEIGHTS_NAMED -> {
        targetVersion++;
        writeTargetVersion();
        return;
      }
    }
    writeConfiguration();
  }

  private void writeTargetVersion() {
    long version = targetVersion;
    ObjectNode body = StandardStreams.MAPPER.createObjectNode();
    body.put("model", Processes.MODEL).put("version", version);
    store
        .put("op", "version/" + Processes.MODEL, body.toString())
        .thenAccept(at -> notes.add(new Note.WeightsAcknowledged(at, Processes.MODEL, version)));
  }

  private CompletableFuture<Void> writeConfiguration() {
    long written = ++configurationVersion;
    notes.add(new Note.ConfigurationSent(StandardStreams.nowMillis(), facts()));
    return store
        .put("op", "config", configurationJson())
        .thenAccept(at -> notes.add(new Note.ConfigurationAcknowledged(at, written)));
  }

  private Map<String, String> tenants() {
    return Map.of(
        changingKey, CHANGING_TENANT, ISOLATED_KEY, ISOLATED_TENANT, STEADY_KEY, "tenant-steady");
  }

  private ConfigurationFacts facts() {
    Map<String, RouteFacts> facts = new LinkedHashMap<>();
    routes.forEach(
        (name, route) ->
            facts.put(
                "/" + name + "/", new RouteFacts(route.service(), TIMEOUT_MILLIS, MAX_ATTEMPTS)));
    return new ConfigurationFacts(configurationVersion, facts, tenants(), Set.of(ISOLATED_TENANT));
  }

  private String configurationJson() {
    ObjectNode root =
        StandardStreams.MAPPER.createObjectNode().put("version", configurationVersion);
    ArrayNode list = root.putArray("routes");
    routes.forEach((name, route) -> writeRoute(list.addObject(), name, route));
    ArrayNode services = root.putArray("services");
    for (String service : Set.of("plain", "spare")) {
      services.addObject().put("name", service).put("maxConnections", 100);
    }
    ObjectNode engines = services.addObject().put("name", "engines").put("maxConnections", 100);
    engines.putObject("engine").putArray("models").addObject().put("name", Processes.MODEL);
    services
        .addObject()
        .put("name", "prompts")
        .put("kvStoreAddr", cacheStoreAddress)
        .put("zone", "zone-a");
    ArrayNode tenants = root.putArray("tenants");
    tenants()
        .forEach(
            (key, name) ->
                tenants
                    .addObject()
                    .put("name", name)
                    .put("isolated", name.equals(ISOLATED_TENANT))
                    .putArray("apiKeys")
                    .add(key));
    return root.toString();
  }

  private static void writeRoute(ObjectNode json, String name, Route route) {
    String kind =
        route.kind().isStreaming()
            ? "streaming"
            : route.kind() == RequestKind.SAFE ? "safe" : "unsafe";
    json.put("name", name)
        .put("host", HOST)
        .put("pathPrefix", "/" + name + "/")
        .put("kind", kind)
        .put("service", route.service())
        .put("timeoutMs", TIMEOUT_MILLIS)
        .put("targetLatencyMs", 800)
        .put("gapTargetMs", 500)
        .put("maxAttempts", MAX_ATTEMPTS)
        .put("priority", 1);
    if (route.kind() == RequestKind.RESUMABLE) {
      json.put("resumable", true);
    }
  }
}
