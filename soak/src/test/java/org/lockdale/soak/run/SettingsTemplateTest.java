package org.lockdale.soak.run;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import org.testng.annotations.Test;

/** Checks that templates are filled as the platform fills them. */
public final class SettingsTemplateTest {

  @Test
  public void gapsAndSectionsAreFilledOrLeftOut() {
    String template = "a: {{x}}:{{y.0}}\n{{#z}}b: {{z}}s\n{{/z}}{{#w}}c: {{w}}{{/w}}";
    assertEquals(
        SettingsTemplate.fill(template, Map.of("x", "1", "y.0", "$2", "z", "3")),
        "a: 1:$2\nb: 3s\n");
  }
}
