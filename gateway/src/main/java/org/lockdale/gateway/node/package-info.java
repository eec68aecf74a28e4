/** The daemon: settings, wiring, readiness, planned stop. */
@NullMarked
package org.lockdale.gateway.node;

import org.jspecify.annotations.NullMarked;
