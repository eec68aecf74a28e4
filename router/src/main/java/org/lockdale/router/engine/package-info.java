/** Model engines: their state as known to a node, and the client that calls them. */
@NullMarked
package org.lockdale.router.engine;

import org.jspecify.annotations.NullMarked;
