/** Choice of an engine by prefix, load and distance. */
@NullMarked
package org.lockdale.router.placement;

import org.jspecify.annotations.NullMarked;
