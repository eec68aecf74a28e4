/** The coordination state machine of a node: membership and dissemination of configuration. */
@NullMarked
package org.lockdale.coordination.node;

import org.jspecify.annotations.NullMarked;
