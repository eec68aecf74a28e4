/** Encoding of the messages that nodes send each other and of the rows they keep. */
@NullMarked
package org.lockdale.protocol;

import org.jspecify.annotations.NullMarked;
