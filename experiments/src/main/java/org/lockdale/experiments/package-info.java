/** Compares placement policies on a virtual clock, with the decision classes of the router. */
@NullMarked
package org.lockdale.experiments;

import org.jspecify.annotations.NullMarked;
