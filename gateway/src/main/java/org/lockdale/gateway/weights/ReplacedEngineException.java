package org.lockdale.gateway.weights;

/**
 * Thrown where another server responds at the address of an engine, so that the record of the
 * engine has to be read again.
 */
public final class ReplacedEngineException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception without a stack trace.
   *
   * @param engine id of the engine that was queried
   */
  public ReplacedEngineException(String engine) {
    super(engine + " has been replaced by another server at its address", null, false, false);
  }
}
