/** Stand-ins of servers and of the store, each run as a process of its own. */
@NullMarked
package org.lockdale.soak.standin;

import org.jspecify.annotations.NullMarked;
