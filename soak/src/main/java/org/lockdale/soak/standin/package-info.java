/** Stand-ins for servers and for the store, each of which runs in a process of its own. */
@NullMarked
package org.lockdale.soak.standin;

import org.jspecify.annotations.NullMarked;
