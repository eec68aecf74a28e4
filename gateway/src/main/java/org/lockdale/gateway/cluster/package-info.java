/** Nodes of one deployment: where they are, and the load that they tell each other. */
@NullMarked
package org.lockdale.gateway.cluster;

import org.jspecify.annotations.NullMarked;
