/** The blackboard: immutable values, each replaced by one controller and read without locks. */
@NullMarked
package org.lockdale.coordination.blackboard;

import org.jspecify.annotations.NullMarked;
