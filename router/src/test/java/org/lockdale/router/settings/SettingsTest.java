package org.lockdale.router.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.lockdale.settings.SettingsException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the validation of settings, and that their reference page is current. */
public final class SettingsTest {

  private static Map<String, String> validFlags() {
    return new HashMap<>(
        Map.of(
            "node.id", "n1",
            "node.zone", "z1",
            "peers.shared-key", "0123456789abcdef",
            "platform.address", "127.0.0.1:6080"));
  }

  /** Invalid values with the text that the error must contain. */
  @DataProvider
  public Object[][] wrong() {
    return new Object[][] {
      {"node.id", "Über", "lower-case"},
      {"callers.port", "65536", "0 to 65535"},
      {"callers.port", "http", "whole number"},
      {"platform.address", "platform.example:6080", "IP address and port"},
      {"platform.timeout", "5", "duration such as"},
      {"engine.report-interval", "1ms", "10ms to 1m"},
      {"node.bind-address", "localhost", "IP address"},
      {"peers.seeds", "127.0.0.1", "IP address and port"},
      {"caller.port", "8080", "no such setting"},
    };
  }

  /** The error names the key and what is allowed. */
  @Test(dataProvider = "wrong")
  public void wrongValuesAreNamed(String key, String value, String remedy) {
    Map<String, String> flags = validFlags();
    flags.put(key, value);
    SettingsException failure =
        expectThrows(SettingsException.class, () -> NodeSettings.load(null, flags));
    assertTrue(failure.getMessage().contains(key), failure.getMessage());
    assertTrue(failure.getMessage().contains(remedy), failure.getMessage());
  }

  /** An error does not contain the value of a secret. */
  @Test
  public void secretsAreNotPrinted() {
    Map<String, String> flags = validFlags();
    flags.put("peers.shared-key", "tooshort");
    SettingsException failure =
        expectThrows(SettingsException.class, () -> NodeSettings.load(null, flags));
    assertTrue(!failure.getMessage().contains("tooshort"), failure.getMessage());
  }

  /** All problems are reported at once. */
  @Test
  public void allProblemsAreReported() {
    SettingsException failure =
        expectThrows(SettingsException.class, () -> NodeSettings.load(null, Map.of()));
    assertEquals(failure.getMessage().lines().count(), 4, failure.getMessage());
  }

  /** Flags override the file, and errors name the file. */
  @Test
  public void flagsOverrideTheFile() throws IOException {
    Path file = Files.createTempFile("settings", ".yaml");
    try {
      Files.writeString(file, "node.id: from-file\nplatform.timeout: 2s\n");
      NodeSettings settings = NodeSettings.load(file, validFlags());
      assertEquals(settings.get(NodeSettings.NODE_ID), "n1");
      assertEquals(settings.get(NodeSettings.PLATFORM_TIMEOUT), Duration.ofSeconds(2));
      Files.writeString(file, "platform.timeout: never\n");
      SettingsException failure =
          expectThrows(SettingsException.class, () -> NodeSettings.load(file, validFlags()));
      assertTrue(failure.getMessage().contains(file.toString()), failure.getMessage());
    } finally {
      Files.delete(file);
    }
  }

  /** docs/SETTINGS.md is generated from the declarations. */
  @Test
  public void thePageIsCurrent() throws IOException {
    assertEquals(
        Files.readString(Path.of("../docs/SETTINGS.md")),
        NodeSettings.referencePage(),
        "regenerate it: ./lockdale node --settings-reference > docs/SETTINGS.md");
  }
}
