package org.lockdale.settings;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Reads and writes {@link JsonNode} trees without an object mapper. An object mapper also
 * initializes the support of dates, annotations and classes, which takes 50 of the 440 ms of
 * processor time that a node needs to start.
 */
public final class JsonTrees {

  /**
   * Greatest number of objects and lists within each other. Deeper input is rejected, since values
   * are read recursively and the stacks of threads are small.
   */
  private static final int MAX_NESTING = 64;

  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private JsonTrees() {}

  /**
   * Reads a complete value.
   *
   * @param parser parser at the start of the value
   * @return the value, or a missing node if the input is empty
   * @throws IOException if the input is malformed, nested too deeply or can't be read
   */
  public static JsonNode read(JsonParser parser) throws IOException {
    JsonToken first = parser.nextToken();
    return first == null ? NODES.missingNode() : value(parser, first);
  }

  private static JsonNode value(JsonParser parser, @Nullable JsonToken token) throws IOException {
    if (token == null) {
      throw new IOException("the input ends within a value");
    }
    if (parser.getParsingContext().getNestingDepth() > MAX_NESTING) {
      throw new IOException("the input is nested more than " + MAX_NESTING + " deep");
    }
    return switch (token) {
      case START_OBJECT -> object(parser);
      case START_ARRAY -> array(parser);
      case VALUE_STRING -> NODES.textNode(parser.getText());
      case VALUE_NUMBER_INT -> integer(parser);
      case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
      case VALUE_TRUE -> NODES.booleanNode(true);
      case VALUE_FALSE -> NODES.booleanNode(false);
      case VALUE_NULL -> NODES.nullNode();
      default -> throw new IOException("unexpected " + token);
    };
  }

  private static JsonNode object(JsonParser parser) throws IOException {
    ObjectNode object = NODES.objectNode();
    for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
      object.set(name, value(parser, parser.nextToken()));
    }
    if (parser.currentToken() != JsonToken.END_OBJECT) {
      throw new IOException("the input ends within an object");
    }
    return object;
  }

  private static JsonNode array(JsonParser parser) throws IOException {
    ArrayNode array = NODES.arrayNode();
    for (JsonToken token = parser.nextToken();
        token != JsonToken.END_ARRAY;
        token = parser.nextToken()) {
      array.add(value(parser, token));
    }
    return array;
  }

  private static JsonNode integer(JsonParser parser) throws IOException {
    return switch (parser.getNumberType()) {
      case INT -> NODES.numberNode(parser.getIntValue());
      case LONG -> NODES.numberNode(parser.getLongValue());
      default -> NODES.numberNode(parser.getBigIntegerValue());
    };
  }

  /**
   * Writes a value.
   *
   * @throws IOException if the value can't be written
   */
  public static void write(JsonNode value, JsonGenerator out) throws IOException {
    switch (value.getNodeType()) {
      case OBJECT -> {
        out.writeStartObject();
        for (Map.Entry<String, JsonNode> field : value.properties()) {
          out.writeFieldName(field.getKey());
          write(field.getValue(), out);
        }
        out.writeEndObject();
      }
      case ARRAY -> {
        out.writeStartArray();
        for (JsonNode item : value) {
          write(item, out);
        }
        out.writeEndArray();
      }
      case STRING -> out.writeString(value.textValue());
      case BOOLEAN -> out.writeBoolean(value.booleanValue());
      case NUMBER -> writeNumber(value, out);
      default -> out.writeNull();
    }
  }

  private static void writeNumber(JsonNode value, JsonGenerator out) throws IOException {
    if (value.isIntegralNumber()) {
      if (value.canConvertToLong()) {
        out.writeNumber(value.longValue());
      } else {
        out.writeNumber(value.bigIntegerValue());
      }
    } else {
      out.writeNumber(value.doubleValue());
    }
  }
}
