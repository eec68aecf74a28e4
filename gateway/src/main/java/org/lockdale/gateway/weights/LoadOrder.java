package org.lockdale.gateway.weights;

/**
 * An order to load weights.
 *
 * @param model name of the model
 * @param version version to load
 * @param holder id of the node that gives the order
 * @param fence fencing token of its lease
 * @param expectedOrderCount orders that the engine must have taken so far; else it does nothing
 */
public record LoadOrder(
    String model, long version, String holder, long fence, long expectedOrderCount) {}
