package org.lockdale.gateway.limit;

import java.time.Duration;

/**
 * How far tenants may go beyond their limits, at all nodes together.
 *
 * @param window sliding window in which requests are counted
 * @param overshoot share of the limit that may run beyond it
 * @param slack what may run beyond that, in the limit's unit
 */
public record LimitBound(Duration window, double overshoot, double slack) {}
