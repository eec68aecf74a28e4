package org.lockdale.gateway.configuration;

/** Content of a row of the operators' table. */
public sealed interface OperatorRecord {

  /**
   * A version of the configuration.
   *
   * @param configuration the configuration
   */
  record Configured(GatewayConfiguration configuration) implements OperatorRecord {}

  /**
   * The target version of the weights of a model.
   *
   * @param model name of the model
   * @param version version of the weights that is to be served
   */
  record TargetVersionSet(String model, long version) implements OperatorRecord {}
}
