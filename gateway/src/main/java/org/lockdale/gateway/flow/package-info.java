/** Bounds of what a node holds in memory for slow callers and backends. */
@NullMarked
package org.lockdale.gateway.flow;

import org.jspecify.annotations.NullMarked;
