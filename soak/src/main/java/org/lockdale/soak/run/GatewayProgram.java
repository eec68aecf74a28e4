package org.lockdale.soak.run;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The command and settings with which the deploy file runs the gateway. */
final class GatewayProgram {

  private static final Pattern COMMAND_LINE = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final String DEPLOYED_SETTINGS_PATH = "/etc/lockdale/settings.toml";
  private static final String ARCHIVE_FLAG = "-XX:SharedArchiveFile=";

  private final Path root;
  private final String commandLine;
  private final String settingsTemplate;

  private GatewayProgram(Path root, String commandLine, String settingsTemplate) {
    this.root = root;
    this.commandLine = commandLine;
    this.settingsTemplate = settingsTemplate;
  }

  /**
   * Reads the deploy file of a repository.
   *
   * @param root directory of the repository
   * @throws IOException if a file can't be read, or the deploy file has no {@code run} command
   */
  static GatewayProgram read(Path root) throws IOException {
    Matcher matcher = COMMAND_LINE.matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!matcher.find()) {
      throw new IOException("deploy/system.toml has no line run = \"...\"");
    }
    return new GatewayProgram(
        root, matcher.group(1), Files.readString(root.resolve("deploy/settings.yaml")));
  }

  /**
   * Returns the command of a node. The option for the class data sharing archive is left out if the
   * archive was not built.
   *
   * @param settings path of the node's settings file
   * @param values values of the command's placeholders
   */
  List<String> command(Path settings, Map<String, String> values) {
    List<String> command = new ArrayList<>();
    for (String word : SettingsTemplate.fill(commandLine, values).split(" ")) {
      boolean archive = word.startsWith(ARCHIVE_FLAG);
      if (!archive || Files.exists(root.resolve(word.substring(ARCHIVE_FLAG.length())))) {
        command.add(word.replace(DEPLOYED_SETTINGS_PATH, settings.toString()));
      }
    }
    return command;
  }

  /** Writes the settings file of a node, with the placeholders of the template replaced. */
  void writeSettings(Path settings, Map<String, String> values) throws IOException {
    Files.writeString(settings, SettingsTemplate.fill(settingsTemplate, values));
  }

  Path root() {
    return root;
  }
}
