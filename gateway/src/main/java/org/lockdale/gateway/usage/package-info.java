/** Tells what a node uses: processor time by thread, bytes by kind of message. */
@NullMarked
package org.lockdale.gateway.usage;

import org.jspecify.annotations.NullMarked;
