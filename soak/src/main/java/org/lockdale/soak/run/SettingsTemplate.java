package org.lockdale.soak.run;

import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Fills the deployment's template of settings as the platform does, as far as it uses it. */
final class SettingsTemplate {

  private static final Pattern SECTION =
      Pattern.compile("\\{\\{#([\\w.]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL);
  private static final Pattern GAP = Pattern.compile("\\{\\{([\\w.]+)}}");

  private SettingsTemplate() {}

  /** Replaces each gap by its value and drops sections and gaps whose value is missing. */
  static String fill(String template, Map<String, String> values) {
    String chosen =
        SECTION
            .matcher(template)
            .replaceAll(
                match ->
                    values.containsKey(match.group(1))
                        ? Matcher.quoteReplacement(match.group(2))
                        : "");
    return GAP.matcher(chosen)
        .replaceAll(match -> Matcher.quoteReplacement(values.getOrDefault(match.group(1), "")));
  }
}
