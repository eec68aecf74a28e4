package org.lockdale.gateway.limit;

import java.time.Duration;

/**
 * Upper bound on how far tenants may exceed their limits, at all nodes together.
 *
 * @param window sliding window in which requests are counted
 * @param overshoot allowed excess as a fraction of the limit
 * @param slack further allowed excess, in the unit of the limit
 */
public record LimitBound(Duration window, double overshoot, double slack) {}
