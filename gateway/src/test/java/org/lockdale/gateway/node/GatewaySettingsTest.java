package org.lockdale.gateway.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.lockdale.settings.SettingsException;
import org.testng.annotations.Test;

/** Settings are validated together, and the reference page matches their declarations. */
public final class GatewaySettingsTest {

  private static Map<String, String> validFlags() {
    Map<String, String> flags = new HashMap<>();
    flags.put("node.id", "node-1");
    flags.put("node.zone", "zone-a");
    flags.put("callers.address", "127.0.0.1:1");
    flags.put("readiness.address", "127.0.0.1:2");
    flags.put("peers.address", "127.0.0.1:3");
    flags.put("store.address", "127.0.0.1:4");
    return flags;
  }

  @Test
  public void goodSettingsHaveTheirDefaults() {
    GatewaySettings settings = GatewaySettings.load(null, validFlags());
    assertEquals(settings.get(GatewaySettings.NODE_ID), "node-1");
    assertEquals(settings.get(GatewaySettings.STORE_WAIT), Duration.ofMillis(600));
  }

  /** Guards against a node that does not start since YAML reads on and off as booleans. */
  @Test
  public void featuresAreSwitchedByWordsAndByBooleans() throws IOException {
    Path file = Files.createTempFile("settings", ".yaml");
    Files.writeString(file, "admission.queue: off\nplacement.by-time: on\n");
    GatewaySettings settings = GatewaySettings.load(file, validFlags());
    Files.delete(file);
    assertFalse(settings.isOn(GatewaySettings.ADMISSION_QUEUE));
    assertTrue(settings.isOn(GatewaySettings.PLACEMENT_BY_TIME));
    assertFalse(settings.isOn(GatewaySettings.ENGINE_SILENCE));
  }

  @Test
  public void boundsMayBeWrittenWithFractions() {
    Map<String, String> flags = validFlags();
    flags.put("stop.grace", "8.0s");
    flags.put("weights.bound", "7500.5ms");
    flags.put("retries.allowance", "198.0");
    GatewaySettings settings = GatewaySettings.load(null, flags);
    assertEquals(settings.get(GatewaySettings.STOP_GRACE), Duration.ofSeconds(8));
    assertEquals(settings.get(GatewaySettings.WEIGHTS_BOUND), Duration.ofNanos(7_500_500_000L));
    assertEquals(settings.get(GatewaySettings.RETRY_ALLOWANCE), 198.0);
  }

  @Test
  public void everyProblemIsReportedAtOnceWithItsRemedy() {
    Map<String, String> flags = validFlags();
    flags.remove("store.address");
    flags.put("retries.ratio", "2");
    flags.put("node.thread", "1");
    SettingsException failure =
        expectThrows(SettingsException.class, () -> GatewaySettings.load(null, flags));
    assertTrue(failure.getMessage().contains("store.address: is not set"), failure.getMessage());
    assertTrue(failure.getMessage().contains("retries.ratio: '2' is not within 0 to 1"));
    assertTrue(failure.getMessage().contains("node.thread: there is no such setting"));
  }

  @Test
  public void thePageOfSettingsIsCurrent() throws IOException {
    String page = Files.readString(Path.of("../docs/GATEWAY-SETTINGS.md"));
    assertEquals(page, GatewaySettings.referencePage());
  }
}
