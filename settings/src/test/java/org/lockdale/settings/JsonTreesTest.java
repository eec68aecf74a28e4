package org.lockdale.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.StringWriter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that trees are read and written in the same way as by an object mapper. */
public final class JsonTreesTest {

  private static final JsonFactory JSON = new JsonFactory();
  private static final int MAX_NESTING = 64;

  @DataProvider
  public Object[] values() {
    return new Object[] {
      "{}",
      "[]",
      "null",
      "\"text \\\" \\u00e9\"",
      "[1,-2,3000000000,90000000000000000000,0.25,true,false,null]",
      "{\"a\":{\"b\":[{},{\"c\":\"d\"}]},\"e\":[[]],\"a2\":1.5e10}",
    };
  }

  private static JsonNode read(String text) throws IOException {
    try (JsonParser parser = JSON.createParser(text)) {
      return JsonTrees.read(parser);
    }
  }

  @Test(dataProvider = "values")
  public void aValueIsReadAndWrittenAsByAnObjectMapper(String text) throws IOException {
    JsonNode value = read(text);
    assertEquals(value, new ObjectMapper().readTree(text));
    StringWriter written = new StringWriter();
    try (JsonGenerator out = JSON.createGenerator(written)) {
      JsonTrees.write(value, out);
    }
    assertEquals(written.toString(), new ObjectMapper().writeValueAsString(value));
  }

  @DataProvider
  public Object[] malformed() {
    return new Object[] {"{", "[1,", "{\"a\":", "{\"a\" 1}", "]", "nul", "{\"a\":1"};
  }

  @Test(dataProvider = "malformed")
  public void truncatedOrMalformedInputIsRejected(String text) {
    expectThrows(IOException.class, () -> read(text));
  }

  private static String nested(int depth) {
    return "[".repeat(depth) + "]".repeat(depth);
  }

  @Test
  public void inputThatIsNestedTooDeeplyIsRejected() throws IOException {
    assertTrue(read(nested(MAX_NESTING)).isArray());
    for (int depth : new int[] {MAX_NESTING + 1, 400, 990, 100_000}) {
      expectThrows(IOException.class, () -> read(nested(depth)));
    }
  }

  @Test
  public void emptyInputIsAMissingNode() throws IOException {
    assertTrue(read("").isMissingNode());
  }
}
