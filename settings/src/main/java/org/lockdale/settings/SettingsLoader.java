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

/** Loads settings from a YAML file and flags, and reports all problems together. */
public final class SettingsLoader {

  private record ProvidedValue(String text, String source) {}

  private final Map<String, ProvidedValue> provided = new LinkedHashMap<>();
  private final List<String> problems = new ArrayList<>();

  private final List<Setting<?>> declarations;

  private SettingsLoader(List<Setting<?>> declarations) {
    this.declarations = declarations;
  }

  /**
   * Loads settings.
   *
   * @param declarations all known settings
   * @param file YAML file of keys and values, or null for none
   * @param flags values by key, which override those of the file
   * @return the parsed value of every setting
   * @throws SettingsException if a setting is invalid, missing or unknown, or if the file can't be
   *     read; the message states the source, key, value and remedy of each problem
   */
  public static Map<Setting<?>, Object> load(
      List<Setting<?>> declarations, @Nullable Path file, Map<String, String> flags) {
    SettingsLoader loader = new SettingsLoader(declarations);
    if (file != null) {
      loader.readFile(file);
    }
    flags.forEach((key, value) -> loader.provided.put(key, new ProvidedValue(value, "flag --set")));
    return loader.check();
  }

  private void readFile(Path file) {
    try (JsonParser parser = new YAMLFactory().createParser(Files.readString(file))) {
      JsonNode root = JsonTrees.read(parser);
      if (!root.isObject()) {
        problems.add(file + ": write one 'key: value' per line.");
        return;
      }
      for (Map.Entry<String, JsonNode> entry : root.properties()) {
        if (entry.getValue().isContainerNode()) {
          problems.add(
              file + ": " + entry.getKey() + ": write the whole key with dots and a plain value.");
        } else {
          provided.put(
              entry.getKey(), new ProvidedValue(entry.getValue().asText(), file.toString()));
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
      Optional<Object> value = valueOf(setting, provided.remove(setting.key()));
      value.ifPresent(checked -> values.put(setting, checked));
    }
    provided.forEach(
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

  private Optional<Object> valueOf(Setting<?> setting, @Nullable ProvidedValue value) {
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
    } catch (IllegalArgumentException invalid) {
      String source = value == null ? "default" : value.source();
      String displayed = setting.secret() ? "(secret)" : "'" + text + "'";
      problems.add(
          source
              + ": "
              + setting.key()
              + ": "
              + displayed
              + " "
              + invalid.getMessage()
              + "; allowed: "
              + setting.range()
              + ".");
      return Optional.empty();
    }
  }
}
