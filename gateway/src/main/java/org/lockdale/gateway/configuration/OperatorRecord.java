package org.lockdale.gateway.configuration;

/** What a row of the operators' table says. */
public sealed interface OperatorRecord {

  /**
   * A version of the configuration.
   *
   * @param configuration everything that operators decide
   */
  record Configured(GatewayConfiguration configuration) implements OperatorRecord {}

  /**
   * The version of a model's weights that is to be served.
   *
   * @param model name of the model
   * @param version the version
   */
  record WeightsNamed(String model, long version) implements OperatorRecord {}
}
