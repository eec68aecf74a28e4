package org.lockdale.router.policy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.lockdale.coordination.configuration.ConfigurationState;

/**
 * Builds the policies of a configuration. An accepted version must take effect at every node, so a
 * resource that can't be used is reported and skipped rather than blocking the version. {@link
 * ConfigurationValidator} rejects such resources before they are accepted.
 */
public final class PolicyParser {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Map<ResourceKind, List<ResourceDocument>> byKind = new HashMap<>();
  private final Consumer<String> problems;

  private PolicyParser(Consumer<String> problems) {
    this.problems = problems;
  }

  /**
   * Parses a configuration.
   *
   * @param state resources at one version
   * @param problems receives a message for each resource or selector that can't be used
   */
  public static PolicySet parse(ConfigurationState state, Consumer<String> problems) {
    PolicyParser parser = new PolicyParser(problems);
    state.resources().forEach((key, json) -> parser.add(json));
    return parser.build(state.version());
  }

  private void add(byte[] json) {
    ResourceDocument document = ResourceDocument.parse(json);
    ResourceKind.find(document.key().kind())
        .ifPresentOrElse(
            kind -> byKind.computeIfAbsent(kind, absent -> new ArrayList<>()).add(document),
            () -> problems.accept(document.key() + ": this release does not support the kind"));
  }

  private List<ResourceDocument> of(ResourceKind kind) {
    return byKind.getOrDefault(kind, List.of());
  }

  private PolicySet build(long version) {
    return new PolicySet(version, tenants(), models(), routes(), engineLabels(), zoneLatencies());
  }

  private Map<String, Tenant> tenants() {
    Map<String, Tenant> byKeyHash = new HashMap<>();
    for (ResourceDocument document : of(ResourceKind.TENANT)) {
      String name = document.key().name();
      Map<String, String> labels = new HashMap<>(document.labels());
      labels.put(LabelNames.TENANT, name);
      Tenant tenant = new Tenant(name, Map.copyOf(labels), limitOf(labels));
      for (JsonNode hash : document.spec().path("apiKeySha256")) {
        byKeyHash.put(hash.asText(), tenant);
      }
    }
    return Map.copyOf(byKeyHash);
  }

  private TenantLimit limitOf(Map<String, String> tenantLabels) {
    TenantLimit limit = TenantLimit.NONE;
    for (ResourceDocument document : of(ResourceKind.LIMIT)) {
      if (selector(document, "tenants").matches(tenantLabels)) {
        JsonNode spec = document.spec();
        limit =
            limit.and(
                new TenantLimit(
                    spec.path("maxInFlight").asInt(Integer.MAX_VALUE),
                    spec.path("requestsPerSecond").asInt(Integer.MAX_VALUE),
                    spec.path("weight").asInt(limit.weight())));
      }
    }
    return limit;
  }

  private Selector selector(ResourceDocument document, String field) {
    JsonNode node = document.spec().path(field);
    if (node.isMissingNode() || node.isNull()) {
      return Selector.EVERYTHING;
    }
    try {
      return MAPPER.treeToValue(node, Selector.class);
    } catch (JsonProcessingException malformed) {
      problems.accept(
          document.key() + ": the selector '" + field + "' is invalid and matches nothing");
      return new Selector(
          Map.of(), List.of(new Selector.Requirement("", Selector.Operator.EXISTS, List.of())));
    }
  }

  private Map<String, ServedModel> models() {
    Map<String, ServedModel> served = new HashMap<>();
    for (ResourceDocument document : of(ResourceKind.MODEL)) {
      String name = document.key().name();
      String weights = document.spec().path("weightsVersion").asText();
      served.put(name, new ServedModel(name, name, "", "", weights));
    }
    for (ResourceDocument document : of(ResourceKind.ADAPTER)) {
      String name = document.key().name();
      ServedModel base = served.get(document.spec().path("model").asText());
      if (base == null) {
        problems.accept(document.key() + ": its model does not exist");
      } else {
        String version = document.spec().path("version").asText();
        served.put(
            base.name() + ":" + name,
            new ServedModel(
                base.name() + ":" + name, base.model(), name, version, base.weightsVersion()));
      }
    }
    return Map.copyOf(served);
  }

  private List<Route> routes() {
    Map<String, Priority> priorities = priorities();
    List<Route> routes = new ArrayList<>();
    for (ResourceDocument document : of(ResourceKind.ROUTE)) {
      JsonNode spec = document.spec();
      Priority priority = priorities.getOrDefault(spec.path("priority").asText(), Priority.NORMAL);
      routes.add(
          new Route(
              document.key().name(),
              spec.path("order").asInt(),
              selector(document, "requests"),
              selector(document, "engines"),
              priority));
    }
    routes.sort(Comparator.comparingInt(Route::order).thenComparing(Route::name));
    return List.copyOf(routes);
  }

  private Map<String, Priority> priorities() {
    Map<String, Priority> priorities = new HashMap<>();
    for (ResourceDocument document : of(ResourceKind.PRIORITY)) {
      String name = document.key().name();
      JsonNode spec = document.spec();
      priorities.put(
          name,
          new Priority(name, spec.path("level").asInt(), spec.path("deadlineMillis").asLong()));
    }
    return priorities;
  }

  private Map<String, Map<String, String>> engineLabels() {
    Map<String, Map<String, String>> labels = new HashMap<>();
    for (ResourceDocument document : of(ResourceKind.ENGINE)) {
      labels.put(document.key().name(), document.labels());
    }
    return Map.copyOf(labels);
  }

  private Map<String, Map<String, Double>> zoneLatencies() {
    Map<String, Map<String, Double>> latencies = new HashMap<>();
    for (ResourceDocument document : of(ResourceKind.ZONE)) {
      Map<String, Double> toOthers = new HashMap<>();
      for (Map.Entry<String, JsonNode> entry : document.spec().path("latencyMillis").properties()) {
        toOthers.put(entry.getKey(), entry.getValue().asDouble());
      }
      latencies.put(document.key().name(), Map.copyOf(toOthers));
    }
    return Map.copyOf(latencies);
  }
}
