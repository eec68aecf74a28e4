/** Transport of node-to-node messages over UDP and TCP. */
@NullMarked
package org.lockdale.router.peer;

import org.jspecify.annotations.NullMarked;
