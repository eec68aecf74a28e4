/** Back ends: what their records say, and how they have behaved toward this node. */
@NullMarked
package org.lockdale.gateway.backend;

import org.jspecify.annotations.NullMarked;
