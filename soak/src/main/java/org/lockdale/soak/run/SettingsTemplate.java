package org.lockdale.soak.run;

import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Fills the deployment's settings template. Supports only the platform's syntax that the template
 * uses: placeholders and optional sections.
 */
final class SettingsTemplate {

  private static final Pattern SECTION =
      Pattern.compile("\\{\\{#([\\w.]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL);
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([\\w.]+)}}");

  private SettingsTemplate() {}

  /** Replaces placeholders by their values, and removes those and the sections without a value. */
  static String fill(String template, Map<String, String> values) {
    String withoutMissingSections =
        SECTION
            .matcher(template)
            .replaceAll(
                match ->
                    values.containsKey(match.group(1))
                        ? Matcher.quoteReplacement(match.group(2))
                        : "");
    return PLACEHOLDER
        .matcher(withoutMissingSections)
        .replaceAll(match -> Matcher.quoteReplacement(values.getOrDefault(match.group(1), "")));
  }
}
