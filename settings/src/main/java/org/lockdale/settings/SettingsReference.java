package org.lockdale.settings;

import java.util.List;

/** Generates the reference page of settings from their declarations. */
public final class SettingsReference {

  private SettingsReference() {}

  /**
   * Returns a Markdown page with a table of all settings.
   *
   * @param title heading of the page
   * @param introduction text between heading and table
   * @param declarations all settings in the order of the page
   */
  public static String toMarkdown(
      String title, String introduction, List<Setting<?>> declarations) {
    StringBuilder page = new StringBuilder();
    page.append("# ").append(title).append("\n\n").append(introduction).append("\n\n");
    page.append("| key | type | default | allowed | what it does |\n");
    page.append("| --- | --- | --- | --- | --- |\n");
    for (Setting<?> setting : declarations) {
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
