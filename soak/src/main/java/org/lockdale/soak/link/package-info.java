/** A loopback proxy between the processes of a run, by which links are harmed. */
@NullMarked
package org.lockdale.soak.link;

import org.jspecify.annotations.NullMarked;
