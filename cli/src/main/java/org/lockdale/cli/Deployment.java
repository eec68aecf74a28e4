package org.lockdale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.UnaryOperator;
import org.lockdale.emulator.engine.EngineSettings;
import org.lockdale.emulator.load.CanalHireWorkload;
import org.lockdale.emulator.load.GiftCardWorkload;
import org.lockdale.emulator.load.Workload;

/**
 * An example deployment of one of the users: zones, engines, configuration and workload.
 *
 * @param zones zones, each with one node
 * @param enginesByZone number of engines in each zone
 * @param model model that all engines have loaded
 * @param weightsVersion version of the model's weights
 * @param pool value of the engines' label {@code pool}
 * @param resource class path name of the configuration file
 * @param workload generator of the requests
 * @param engineChange change applied to the standard engine settings
 */
record Deployment(
    List<String> zones,
    List<Integer> enginesByZone,
    String model,
    String weightsVersion,
    String pool,
    String resource,
    Workload workload,
    UnaryOperator<EngineSettings> engineChange) {

  private static final int CACHE_BLOCKS = 2_048;

  private static final Deployment GIFT_CARDS =
      new Deployment(
          List.of("pasig-a", "pasig-b", "makati-c"),
          List.of(5, 4, 4),
          GiftCardWorkload.MODEL,
          "2026-11",
          "llm-pool",
          "/examples/gift-cards.yaml",
          new GiftCardWorkload(),
          UnaryOperator.identity());

  private static final Deployment CANAL_HIRE =
      new Deployment(
          List.of("hall-fes", "hall-meknes", "hall-tanger"),
          List.of(3, 3, 2),
          CanalHireWorkload.MODEL,
          "2026-10",
          "quai-llm",
          "/examples/canal-hire.yaml",
          new CanalHireWorkload(),
          UnaryOperator.identity());

  static Deployment find(String workloadName) {
    for (Deployment deployment : List.of(GIFT_CARDS, CANAL_HIRE)) {
      if (deployment.workload.name().equals(workloadName)) {
        return deployment;
      }
    }
    throw new OperatorException(
        "There is no workload '" + workloadName + "'; choose gift-cards or canal-hire.");
  }

  /** Returns this deployment with other zones, numbers of engines and change of their settings. */
  Deployment withEngines(
      List<String> newZones, List<Integer> newEngines, UnaryOperator<EngineSettings> change) {
    return new Deployment(
        newZones, newEngines, model, weightsVersion, pool, resource, workload, change);
  }

  /** Returns the settings of all engines. */
  List<EngineSettings> engines() {
    List<EngineSettings> engines = new ArrayList<>();
    for (int zone = 0; zone < zones.size(); zone++) {
      for (int number = 0; number < enginesByZone.get(zone); number++) {
        String id = String.format("llm-%02d", engines.size() + 1);
        EngineSettings standard =
            EngineSettings.standard(
                id, zones.get(zone), Map.of("pool", pool), Map.of(model, weightsVersion));
        engines.add(engineChange.apply(standard.withCacheBlocks(CACHE_BLOCKS)));
      }
    }
    return engines;
  }

  /** Reads the resources of the configuration from the class path. */
  List<JsonNode> configuration() {
    try (InputStream stream = Deployment.class.getResourceAsStream(resource)) {
      return new YAMLMapper()
          .readerFor(JsonNode.class)
          .<JsonNode>readValues(Objects.requireNonNull(stream))
          .readAll();
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }

  /**
   * Returns the priority that the routes assign to a service.
   *
   * @return the priority of the route that names the service, else that of the route without
   *     expressions, else the name of the service
   */
  String priorityOf(String service) {
    String fallback = service;
    for (JsonNode resource : configuration()) {
      if (!resource.path("kind").asText().equals("Route")) {
        continue;
      }
      JsonNode spec = resource.path("spec");
      JsonNode expressions = spec.path("requests").path("matchExpressions");
      if (expressions.isEmpty()) {
        fallback = spec.path("priority").asText();
      }
      for (JsonNode value : expressions.path(0).path("values")) {
        if (value.asText().equals(service)) {
          return spec.path("priority").asText();
        }
      }
    }
    return fallback;
  }
}
