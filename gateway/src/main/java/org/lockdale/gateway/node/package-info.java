/** The gateway daemon: its settings, assembly, readiness checks and planned stop. */
@NullMarked
package org.lockdale.gateway.node;

import org.jspecify.annotations.NullMarked;
