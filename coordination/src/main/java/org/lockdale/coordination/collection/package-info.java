/** Bounded collections. */
@NullMarked
package org.lockdale.coordination.collection;

import org.jspecify.annotations.NullMarked;
