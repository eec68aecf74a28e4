package org.lockdale.emulator.engine;

/**
 * An order of the system to an engine.
 *
 * @param fencingToken token of the lease under which the order is given; older ones are refused
 * @param action what to do
 * @param model model concerned, or an empty string
 * @param version weights version to load, or an empty string
 */
public record EngineOrder(long fencingToken, Action action, String model, String version) {

  /** What an engine can be told to do. */
  public enum Action {
    /** Load a weights version of a model, in place of an earlier one. */
    LOAD_WEIGHTS,
    /** Unload a model. */
    UNLOAD_WEIGHTS,
    /** Take no new work. */
    LEAVE,
    /** Take new work again. */
    RETURN
  }
}
