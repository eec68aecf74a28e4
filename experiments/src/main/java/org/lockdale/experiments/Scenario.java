package org.lockdale.experiments;

import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.lockdale.emulator.load.CanalHireWorkload;
import org.lockdale.emulator.load.GiftCardWorkload;
import org.lockdale.emulator.load.Workload;

/**
 * Parameters of a simulation.
 *
 * @param workload {@code gift-cards} or {@code canal-hire}
 * @param zones zones, each with one node
 * @param engines number of engines in each zone
 * @param zoneLatencyMillis one-way latency between zones, in milliseconds
 * @param clientLatencyMillis one-way latency between callers and nodes, in milliseconds
 * @param cacheBlocks capacity of the cache of an engine, in blocks
 * @param requestsPerSecond mean rate of arrivals, which are independent of each other (Poisson)
 * @param warmUpSeconds simulated time before the measured period
 * @param seconds length of the measured period in simulated time
 */
public record Scenario(
    String workload,
    List<String> zones,
    List<Integer> engines,
    double zoneLatencyMillis,
    double clientLatencyMillis,
    int cacheBlocks,
    double requestsPerSecond,
    int warmUpSeconds,
    int seconds) {

  /**
   * Loads a scenario.
   *
   * @param nameOrFile name of a built-in scenario, or path of a YAML file
   * @throws UncheckedIOException if there is neither such a scenario nor a readable file
   */
  public static Scenario load(String nameOrFile) {
    try (InputStream shipped =
        Scenario.class.getResourceAsStream("/scenarios/" + nameOrFile + ".yaml")) {
      YAMLMapper mapper = new YAMLMapper();
      if (shipped != null) {
        return mapper.readValue(shipped, Scenario.class);
      }
      return mapper.readValue(Files.readAllBytes(Path.of(nameOrFile)), Scenario.class);
    } catch (IOException unreadable) {
      throw new UncheckedIOException(
          "'" + nameOrFile + "' is neither a built-in scenario nor a readable file", unreadable);
    }
  }

  /** Returns the same scenario at another rate. */
  public Scenario withRate(double rate) {
    return new Scenario(
        workload,
        zones,
        engines,
        zoneLatencyMillis,
        clientLatencyMillis,
        cacheBlocks,
        rate,
        warmUpSeconds,
        seconds);
  }

  Workload newWorkload() {
    return switch (workload) {
      case "gift-cards" -> new GiftCardWorkload();
      case "canal-hire" -> new CanalHireWorkload();
      default -> throw new IllegalArgumentException("there is no workload '" + workload + "'");
    };
  }
}
