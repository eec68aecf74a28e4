/** The command line of the daemon. */
@NullMarked
package org.lockdale.gateway.command;

import org.jspecify.annotations.NullMarked;
