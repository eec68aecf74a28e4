/** Current state of a node: sections that controllers write and all other components read. */
@NullMarked
package org.lockdale.gateway.blackboard;

import org.jspecify.annotations.NullMarked;
