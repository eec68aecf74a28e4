/** Assembly and life cycle of one node. */
@NullMarked
package org.lockdale.router.node;

import org.jspecify.annotations.NullMarked;
