package org.lockdale.soak.run;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The gateway as the deploy file runs it: its command and its settings. */
final class GatewayProgram {

  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final String SETTINGS = "/etc/lockdale/settings.toml";
  private static final String ARCHIVE_FLAG = "-XX:SharedArchiveFile=";

  private final Path root;
  private final String run;
  private final String template;

  private GatewayProgram(Path root, String run, String template) {
    this.root = root;
    this.run = run;
    this.template = template;
  }

  /** Reads the deploy file of a repository. */
  static GatewayProgram read(Path root) throws IOException {
    Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no command");
    }
    return new GatewayProgram(
        root, run.group(1), Files.readString(root.resolve("deploy/settings.yaml")));
  }

  /** Returns the command of a node; the archive of classes is left out where it was not built. */
  List<String> command(Path settings, Map<String, String> values) {
    List<String> command = new ArrayList<>();
    for (String word : SettingsTemplate.fill(run, values).split(" ")) {
      boolean archive = word.startsWith(ARCHIVE_FLAG);
      if (!archive || Files.exists(root.resolve(word.substring(ARCHIVE_FLAG.length())))) {
        command.add(word.replace(SETTINGS, settings.toString()));
      }
    }
    return command;
  }

  /** Writes a node's settings. */
  void writeSettings(Path settings, Map<String, String> values) throws IOException {
    Files.writeString(settings, SettingsTemplate.fill(template, values));
  }

  Path root() {
    return root;
  }
}
