/** Encoding of messages between nodes and of rows in the table service. */
@NullMarked
package org.lockdale.protocol;

import org.jspecify.annotations.NullMarked;
