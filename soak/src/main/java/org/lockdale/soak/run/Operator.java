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

/** Writes configurations and names weights. Thread-safe. */
final class Operator {

  /** Host of all routes. */
  static final String HOST = "shop.example";

  /** Tenant whose key is replaced now and then. */
  static final String CHANGING_TENANT = "tenant-changing";

  /** Key of a tenant that shares no cached prompts. */
  static final String ISOLATED_KEY = "key-isolated";

  /** Key that holds in every configuration. */
  static final String STEADY_KEY = "key-steady";

  private static final String ISOLATED_TENANT = "tenant-isolated";
  private static final long TIMEOUT_MILLIS = 4_000;
  private static final int ATTEMPTS = 2;

  /** A route; its path begins with its name. */
  private record Route(RequestKind kind, String service) {}

  private final NoteLog notes;
  private final StoreControl store;
  private final String cacheStore;
  private final Map<String, Route> routes = new LinkedHashMap<>();
  private String changingKey = "key-changing-1";
  private String replacedKey = changingKey;
  private long version;
  private long weights = 1;
  private int added;

  Operator(NoteLog notes, StoreControl store, String cacheStore) {
    this.notes = notes;
    this.store = store;
    this.cacheStore = cacheStore;
    routes.put("safe", new Route(RequestKind.SAFE, "plain"));
    routes.put("unsafe", new Route(RequestKind.UNSAFE, "plain"));
    routes.put("moving", new Route(RequestKind.UNSAFE, "plain"));
    routes.put("stream", new Route(RequestKind.STREAM, "engines"));
    routes.put("resumable", new Route(RequestKind.RESUMABLE, "engines"));
  }

  /** Returns the key of the changing tenant that was given out last. */
  synchronized String changingKey() {
    return changingKey;
  }

  /** Returns the key that the changing tenant had before. */
  synchronized String replacedKey() {
    return replacedKey;
  }

  /** Returns the name of the route added last, whether it still exists or not. */
  synchronized String addedRoute() {
    return "added-" + added;
  }

  /** Returns the newest weights that were named. */
  synchronized long weights() {
    return weights;
  }

  /** Writes the first configuration and names the first weights. */
  synchronized void begin() {
    nameWeights();
    configure().join();
  }

  /** Makes a change. */
  synchronized void change(OperatorChange change) {
    switch (change) {
      case KEY_REPLACED -> {
        replacedKey = changingKey;
        changingKey = "key-changing-" + (version + 1);
      }
      case ROUTE_MOVED -> {
        String service = routes.get("moving").service().equals("plain") ? "spare" : "plain";
        routes.put("moving", new Route(RequestKind.UNSAFE, service));
      }
      case ROUTE_ADDED -> {
        added++;
        routes.put(addedRoute(), new Route(RequestKind.SAFE, "spare"));
      }
      case ROUTE_REMOVED -> routes.remove(addedRoute());
      case WEIGHTS_NAMED -> {
        weights++;
        nameWeights();
        return;
      }
    }
    configure();
  }

  private void nameWeights() {
    long named = weights;
    ObjectNode body = StandardStreams.MAPPER.createObjectNode();
    body.put("model", Processes.MODEL).put("version", named);
    store
        .put("op", "version/" + Processes.MODEL, body.toString())
        .thenAccept(at -> notes.add(new Note.WeightsAcknowledged(at, Processes.MODEL, named)));
  }

  private CompletableFuture<Void> configure() {
    long written = ++version;
    notes.add(new Note.ConfigurationSent(StandardStreams.nowMillis(), facts()));
    return store
        .put("op", "config", json())
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
            facts.put("/" + name + "/", new RouteFacts(route.service(), TIMEOUT_MILLIS, ATTEMPTS)));
    return new ConfigurationFacts(version, facts, tenants(), Set.of(ISOLATED_TENANT));
  }

  private String json() {
    ObjectNode root = StandardStreams.MAPPER.createObjectNode().put("version", version);
    ArrayNode list = root.putArray("routes");
    routes.forEach((name, route) -> write(list.addObject(), name, route));
    ArrayNode services = root.putArray("services");
    for (String service : Set.of("plain", "spare")) {
      services.addObject().put("name", service).put("maxConnections", 100);
    }
    ObjectNode engines = services.addObject().put("name", "engines").put("maxConnections", 100);
    engines.putObject("engine").putArray("models").addObject().put("name", Processes.MODEL);
    services
        .addObject()
        .put("name", "prompts")
        .put("kvStoreAddr", cacheStore)
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

  private static void write(ObjectNode json, String name, Route route) {
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
        .put("maxAttempts", ATTEMPTS)
        .put("priority", 1);
    if (route.kind() == RequestKind.RESUMABLE) {
      json.put("resumable", true);
    }
  }
}
