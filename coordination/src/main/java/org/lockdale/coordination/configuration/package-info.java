/** The versioned configuration: replicas at the nodes and the history in the table service. */
@NullMarked
package org.lockdale.coordination.configuration;

import org.jspecify.annotations.NullMarked;
