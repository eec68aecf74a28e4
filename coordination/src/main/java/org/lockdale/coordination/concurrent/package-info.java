/** Utilities for futures. */
@NullMarked
package org.lockdale.coordination.concurrent;

import org.jspecify.annotations.NullMarked;
