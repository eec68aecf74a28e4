package org.lockdale.emulator.engine;

/**
 * An administrative order to an engine.
 *
 * @param fencingToken token of the lease under which the order is given; lower tokens are rejected
 * @param action action to execute
 * @param model model to load or unload, or an empty string
 * @param version weights version to load, or an empty string
 */
public record EngineOrder(long fencingToken, Action action, String model, String version) {

  /** Action that an engine executes. */
  public enum Action {
    /** Loads a weights version of a model and replaces the present one. */
    LOAD_WEIGHTS,
    /** Unloads a model. */
    UNLOAD_WEIGHTS,
    /** Starts draining: rejects new requests. */
    LEAVE,
    /** Stops draining: accepts new requests again. */
    RETURN
  }
}
