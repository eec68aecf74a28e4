package org.lockdale.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Reads settings from a YAML file and flags, checks them all and reports every problem at once. */
public final class SettingsLoader {

  private record Given(String text, String source) {}

  private final Map<String, Given> given = new LinkedHashMap<>();
  private final List<String> problems = new ArrayList<>();

  private final List<Setting<?>> declarations;

  private SettingsLoader(List<Setting<?>> declarations) {
    this.declarations = declarations;
  }

  /**
   * Loads settings.
   *
   * @param declarations all settings that there are
   * @param file YAML file of keys and values, or null for none
   * @param flags values that override the file
   * @return the checked value of every setting
   * @throws SettingsException if anything is wrong; the message names file, key, value and remedy
   */
  public static Map<Setting<?>, Object> load(
      List<Setting<?>> declarations, @Nullable Path file, Map<String, String> flags) {
    SettingsLoader loader = new SettingsLoader(declarations);
    if (file != null) {
      loader.readFile(file);
    }
    flags.forEach((key, value) -> loader.given.put(key, new Given(value, "flag --set")));
    return loader.check();
  }

  private void readFile(Path file) {
    try (JsonParser parser = new YAMLFactory().createParser(Files.readString(file))) {
      JsonNode root = Trees.read(parser);
      if (!root.isObject()) {
        problems.add(file + ": write one 'key: value' a line.");
        return;
      }
      for (Map.Entry<String, JsonNode> entry : root.properties()) {
        if (entry.getValue().isContainerNode()) {
          problems.add(
              file + ": " + entry.getKey() + ": write the whole key with dots and a plain value.");
        } else {
          given.put(entry.getKey(), new Given(entry.getValue().asText(), file.toString()));
        }
      }
    } catch (JsonProcessingException malformed) {
      problems.add(file + ": is not valid YAML: " + malformed.getOriginalMessage());
    } catch (IOException unreadable) {
      problems.add(file + ": can't be read; check the path and its permissions.");
    }
  }

  private Map<Setting<?>, Object> check() {
    Map<Setting<?>, Object> values = new HashMap<>();
    for (Setting<?> setting : declarations) {
      Optional<Object> value = valueOf(setting, given.remove(setting.key()));
      value.ifPresent(checked -> values.put(setting, checked));
    }
    given.forEach(
        (key, value) ->
            problems.add(
                value.source()
                    + ": "
                    + key
                    + ": there is no such setting; remove it or see docs/SETTINGS.md for the"
                    + " names."));
    if (!problems.isEmpty()) {
      throw new SettingsException(problems);
    }
    return values;
  }

  private Optional<Object> valueOf(Setting<?> setting, @Nullable Given value) {
    if (value == null && setting.isRequired()) {
      problems.add(
          setting.key()
              + ": is not set; write it in the settings file or give --set "
              + setting.key()
              + "=VALUE ("
              + setting.description()
              + ")");
      return Optional.empty();
    }
    String text = value == null ? setting.defaultText() : value.text();
    try {
      return Optional.of(setting.parser().apply(text));
    } catch (IllegalArgumentException wrong) {
      String source = value == null ? "default" : value.source();
      String shown = setting.secret() ? "(secret)" : "'" + text + "'";
      problems.add(
          source
              + ": "
              + setting.key()
              + ": "
              + shown
              + " "
              + wrong.getMessage()
              + "; allowed: "
              + setting.range()
              + ".");
      return Optional.empty();
    }
  }
}
