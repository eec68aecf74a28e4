/**
 * The nodes of one deployment: their addresses, the election of relays, and the messages by which
 * nodes share loads, placements, limits and rates.
 */
@NullMarked
package org.lockdale.gateway.cluster;

import org.jspecify.annotations.NullMarked;
