package org.lockdale.gateway.weights;

/** Another server answers at the address of an engine; read the engine's record anew. */
public final class ReplacedEngineException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates a failure.
   *
   * @param engine id of the engine that was asked
   */
  public ReplacedEngineException(String engine) {
    super(engine + " is no longer at its address", null, false, false);
  }
}
