/** The command line of the gateway daemon. */
@NullMarked
package org.lockdale.gateway.command;

import org.jspecify.annotations.NullMarked;
