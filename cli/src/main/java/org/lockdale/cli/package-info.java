/** The {@code lockdale} command. */
@NullMarked
package org.lockdale.cli;

import org.jspecify.annotations.NullMarked;
