/** Sends changes of shared state to all other nodes by datagrams. */
@NullMarked
package org.lockdale.gateway.broadcast;

import org.jspecify.annotations.NullMarked;
