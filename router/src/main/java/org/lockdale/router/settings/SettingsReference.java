package org.lockdale.router.settings;

/** Renders the reference page of settings from their declarations. */
public final class SettingsReference {

  private SettingsReference() {}

  /** Returns docs/SETTINGS.md. */
  public static String toMarkdown() {
    StringBuilder page = new StringBuilder();
    page.append("# Settings of a node\n\n");
    page.append(
        "Written by `lockdale node --settings-reference`; a test keeps it current. Settings stand"
            + " in one YAML\nfile, a `key: value` a line, or in flags `--set key=value`, which"
            + " win. Secrets are never printed.\n\n");
    page.append("| key | type | default | allowed | what it does |\n");
    page.append("| --- | --- | --- | --- | --- |\n");
    for (Setting<?> setting : NodeSettings.declarations()) {
      page.append("| `").append(setting.key()).append("` | ").append(setting.type()).append(" | ");
      page.append(defaultOf(setting)).append(" | ");
      page.append(setting.range()).append(" | ").append(setting.description()).append(" |\n");
    }
    return page.toString();
  }

  private static String defaultOf(Setting<?> setting) {
    if (setting.isRequired()) {
      return "must be set";
    }
    return "`" + setting.defaultText() + "`";
  }
}
