package org.lockdale.router.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.lockdale.coordination.configuration.ConfigurationState;
import org.lockdale.coordination.configuration.ResourceKey;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests selectors, the configuration schema, references and the shipped examples. */
public final class PolicyTest {

  private static final YAMLMapper YAML = new YAMLMapper();

  private static List<ResourceDocument> example(String name) throws IOException {
    List<ResourceDocument> documents = new ArrayList<>();
    for (JsonNode node :
        YAML.readerFor(JsonNode.class)
            .<JsonNode>readValues(Path.of("../examples/" + name + ".yaml").toFile())
            .readAll()) {
      documents.add(ResourceDocument.of(node));
    }
    return documents;
  }

  private static ConfigurationState stateOf(List<ResourceDocument> documents) {
    SortedMap<ResourceKey, byte[]> resources = new TreeMap<>();
    documents.forEach(document -> resources.put(document.key(), document.toJson()));
    return new ConfigurationState(1, Collections.unmodifiableSortedMap(resources));
  }

  /** Both examples are valid, have eight tenants and a route for their callers' requests. */
  @Test
  public void examplesAreValid() throws IOException {
    for (String name : List.of("gift-cards", "canal-hire")) {
      List<ResourceDocument> documents = example(name);
      ConfigurationValidator validator = new ConfigurationValidator();
      documents.forEach(document -> assertEquals(validator.checkDocument(document), List.of()));
      assertEquals(validator.checkReferences(stateOf(documents)), List.of());
      List<String> problems = new ArrayList<>();
      PolicySet policies = PolicyParser.parse(stateOf(documents), problems::add);
      assertEquals(problems, List.of());
      assertEquals(policies.tenantsByKeyHash().size(), 8);
      assertTrue(policies.routeOf(Map.of("service", "balance-check")).isPresent());
    }
  }

  /** Operators with labels that match and labels that do not. */
  @DataProvider
  public Object[][] requirements() {
    return new Object[][] {
      {Selector.Operator.IN, Map.of("k", "a"), Map.of("k", "c")},
      {Selector.Operator.IN, Map.of("k", "b"), Map.of()},
      {Selector.Operator.NOT_IN, Map.of("k", "c"), Map.of("k", "a")},
      {Selector.Operator.NOT_IN, Map.of(), Map.of("k", "b")},
      {Selector.Operator.EXISTS, Map.of("k", "x"), Map.of("j", "x")},
      {Selector.Operator.DOES_NOT_EXIST, Map.of("j", "x"), Map.of("k", "x")},
    };
  }

  /** Each operator matches the right labels only. */
  @Test(dataProvider = "requirements")
  public void selectorsMatch(
      Selector.Operator operator, Map<String, String> matching, Map<String, String> other) {
    Selector selector =
        new Selector(Map.of(), List.of(new Selector.Requirement("k", operator, List.of("a", "b"))));
    assertTrue(selector.matches(matching));
    assertFalse(selector.matches(other));
  }

  /** Documents that the schema must reject. */
  @DataProvider
  public Object[][] invalid() {
    return new Object[][] {
      {"{apiVersion: lockdale/v2, kind: Zone, metadata: {name: a}}"},
      {"{apiVersion: lockdale/v1, kind: Pod, metadata: {name: a}}"},
      {"{apiVersion: lockdale/v1, kind: Zone, metadata: {name: Ä}}"},
      {"{apiVersion: lockdale/v1, kind: Zone, metadata: {name: a}, spec: {colour: red}}"},
      {"{apiVersion: lockdale/v1, kind: Tenant, metadata: {name: a}, spec: {apiKeySha256: [x]}}"},
      {"{apiVersion: lockdale/v1, kind: Priority, metadata: {name: a}, spec: {level: 1001}}"},
      {"{apiVersion: lockdale/v1, kind: Model, metadata: {name: a}}"},
      {
        "{apiVersion: lockdale/v1, kind: Route, metadata: {name: a}, spec: {order: 1, engines:"
            + " {matchExpressions: [{key: k, operator: Like}]}}}"
      },
    };
  }

  /** Each invalid document is rejected with its key in the message. */
  @Test(dataProvider = "invalid")
  public void invalidDocumentsAreRejected(String yaml) throws IOException {
    List<String> problems =
        new ConfigurationValidator().checkDocument(ResourceDocument.of(YAML.readTree(yaml)));
    assertFalse(problems.isEmpty(), yaml);
    assertTrue(problems.get(0).contains("/"), problems.get(0));
  }

  /** A reference to a missing resource and an API key of two tenants are each reported. */
  @Test
  public void referencesAreChecked() throws IOException {
    String hash = PolicySet.hashOfKey("same");
    List<ResourceDocument> documents = new ArrayList<>();
    for (String yaml :
        List.of(
            "{apiVersion: lockdale/v1, kind: Adapter, metadata: {name: a}, spec: {model: m}}",
            "{apiVersion: lockdale/v1, kind: Tenant, metadata: {name: a}, spec: {apiKeySha256: ["
                + hash
                + "]}}",
            "{apiVersion: lockdale/v1, kind: Tenant, metadata: {name: b}, spec: {apiKeySha256: ["
                + hash
                + "]}}")) {
      documents.add(ResourceDocument.of(YAML.readTree(yaml)));
    }
    List<String> problems = new ConfigurationValidator().checkReferences(stateOf(documents));
    assertEquals(problems.size(), 2, problems.toString());
  }

  /** The strictest of all limits that select a tenant applies. */
  @Test
  public void theStrictestLimitApplies() throws IOException {
    List<ResourceDocument> documents = example("gift-cards");
    documents.add(
        ResourceDocument.of(
            YAML.readTree(
                "{apiVersion: lockdale/v1, kind: Limit, metadata: {name: z}, spec: {tenants:"
                    + " {matchLabels: {tenant: puregold}}, maxInFlight: 5}}")));
    PolicySet policies = PolicyParser.parse(stateOf(documents), problem -> {});
    assertEquals(policies.tenantOfKey("key-puregold").orElseThrow().limit().maxInFlight(), 5);
    assertEquals(policies.tenantOfKey("key-sm-malls").orElseThrow().limit().maxInFlight(), 512);
    assertEquals(policies.tenantOfKey("key-puregold").orElseThrow().limit().weight(), 200);
  }
}
