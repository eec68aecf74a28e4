/** Immutable values that one controller replaces and everyone reads without locks. */
@NullMarked
package org.lockdale.coordination.blackboard;

import org.jspecify.annotations.NullMarked;
