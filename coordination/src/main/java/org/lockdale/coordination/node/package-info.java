/** One node's coordination state machine: membership and the spread of configuration. */
@NullMarked
package org.lockdale.coordination.node;

import org.jspecify.annotations.NullMarked;
