package org.lockdale.gateway.weights;

/**
 * An order to load weights.
 *
 * @param model name of the model
 * @param version version to load
 * @param holder id of the node that gives the order, the holder of the lease
 * @param fence fencing token of its lease
 * @param expectedOrderCount number of orders that the engine must have received so far; otherwise
 *     it ignores the order
 */
public record LoadOrder(
    String model, long version, String holder, long fence, long expectedOrderCount) {}
