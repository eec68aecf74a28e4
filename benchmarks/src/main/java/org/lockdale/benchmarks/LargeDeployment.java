package org.lockdale.benchmarks;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.lockdale.coordination.configuration.ConfigurationState;
import org.lockdale.coordination.configuration.ResourceKey;
import org.lockdale.coordination.placement.Rendezvous;
import org.lockdale.router.engine.EngineActivity;
import org.lockdale.router.engine.EngineLoad;
import org.lockdale.router.engine.EngineTable;
import org.lockdale.router.engine.EngineView;
import org.lockdale.router.policy.PolicySet;

/**
 * Configuration and engines of the size that the router is to support within two years: 540
 * tenants, 7 models, 14 zones and 1,100 engines.
 */
final class LargeDeployment {

  static final int TENANTS = 540;
  static final int ROUTES = 40;
  static final int MODELS = 7;
  static final int ZONES = 14;

  private LargeDeployment() {}

  static ConfigurationState configuration() {
    SortedMap<ResourceKey, byte[]> resources = new TreeMap<>();
    for (int model = 0; model < MODELS; model++) {
      put(resources, "Model", "model-" + model, "{}", "{\"weightsVersion\":\"v1\"}");
    }
    for (int tenant = 0; tenant < TENANTS; tenant++) {
      put(
          resources,
          "Tenant",
          "tenant-" + tenant,
          "{\"size\":\"" + (tenant % 20 == 0 ? "large" : "small") + "\"}",
          "{\"apiKeySha256\":[\"" + PolicySet.hashOfKey("key-" + tenant) + "\"]}");
    }
    for (int route = 0; route < ROUTES; route++) {
      put(
          resources,
          "Route",
          "route-" + route,
          "{}",
          "{\"order\":"
              + route
              + ",\"requests\":{\"matchExpressions\":[{\"key\":\"service\",\"operator\":\"In\","
              + "\"values\":[\"service-"
              + route
              + "\"]}]},\"engines\":{\"matchLabels\":{\"pool\":\"pool\"}}}");
    }
    return new ConfigurationState(1, Collections.unmodifiableSortedMap(resources));
  }

  private static void put(
      SortedMap<ResourceKey, byte[]> resources,
      String kind,
      String name,
      String labels,
      String spec) {
    String json =
        "{\"apiVersion\":\"lockdale/v1\",\"kind\":\""
            + kind
            + "\",\"metadata\":{\"name\":\""
            + name
            + "\",\"labels\":"
            + labels
            + "},\"spec\":"
            + spec
            + "}";
    resources.put(new ResourceKey(kind, name), json.getBytes(StandardCharsets.UTF_8));
  }

  static EngineTable engines(int count) {
    List<EngineView> engines = new ArrayList<>(count);
    for (int index = 0; index < count; index++) {
      String id = "engine-" + index;
      engines.add(
          new EngineView(
              id,
              Rendezvous.identityOf(id),
              InetSocketAddress.createUnresolved("10.0.0.1", 1),
              "zone-" + index % ZONES,
              Map.of("pool", "pool", "zone", "zone-" + index % ZONES),
              "life-1",
              Map.of("model-" + index % MODELS, "v1"),
              false,
              new EngineLoad(index % 30, 0, index * 17 % 4_000, 32, 40_000, 0),
              new EngineActivity()));
    }
    return new EngineTable(engines);
  }
}
