package org.lockdale.gateway.table;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Each version of a row is parsed once. */
public final class RowReaderTest {

  private final List<String> parsed = new ArrayList<>();
  private final Map<String, TableRowChange> rows = new HashMap<>();
  private RowReader<String> reader;

  @BeforeMethod
  public void start() {
    parsed.clear();
    rows.clear();
    reader = new RowReader<>(this::parse);
  }

  private Optional<String> parse(TableRowChange row) {
    String text = new String(row.value(), StandardCharsets.UTF_8);
    parsed.add(text);
    if (text.equals("malformed")) {
      throw new MalformedRecordException(row.key(), "is malformed");
    }
    if (text.equals("deep")) {
      throw new StackOverflowError();
    }
    if (text.equals("odd")) {
      throw new ArithmeticException("overflow");
    }
    return text.isEmpty() ? Optional.empty() : Optional.of(text);
  }

  private void put(String key, String value, long version) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    rows.put(key, new TableRowChange(key, bytes, version, false));
  }

  @Test
  public void onlyChangedRowsAreParsedAgain() {
    put("a", "one", 1);
    put("b", "two", 2);
    reader.read(rows);
    put("b", "three", 3);

    assertEquals(reader.read(rows).stream().sorted().toList(), List.of("one", "three"));
    assertEquals(parsed.stream().sorted().toList(), List.of("one", "three", "two"));
  }

  @Test
  public void aRowThatCannotBeParsedForAnyReasonCostsNoOtherRow() {
    put("a", "deep", 1);
    put("b", "odd", 2);
    put("c", "malformed", 3);
    put("d", "good", 4);
    assertEquals(reader.read(rows), List.of("good"));
    reader.read(rows);
    assertEquals(parsed.size(), 4, "each version is parsed once");
  }

  @Test
  public void aRowThatReappearsWithTheSameVersionIsParsed() {
    put("a", "one", 1);
    reader.read(rows);
    rows.clear();
    assertEquals(reader.read(rows), List.of());
    put("a", "one", 1);

    assertEquals(reader.read(rows), List.of("one"));
    assertEquals(parsed, List.of("one", "one"));
  }

  @Test
  public void malformedRowsAreSkippedAndParsedOnce() {
    put("a", "malformed", 1);
    put("b", "", 1);
    put("c", "one", 1);

    assertEquals(reader.read(rows), List.of("one"));
    assertEquals(reader.read(rows), List.of("one"));
    assertEquals(parsed.size(), 3);
  }
}
