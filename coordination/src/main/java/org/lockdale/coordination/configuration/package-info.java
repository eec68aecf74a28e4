/** The versioned configuration: a replica at each node and the history in the table service. */
@NullMarked
package org.lockdale.coordination.configuration;

import org.jspecify.annotations.NullMarked;
