/** State snapshots that controllers publish and the request path reads without locks. */
@NullMarked
package org.lockdale.router.blackboard;

import org.jspecify.annotations.NullMarked;
