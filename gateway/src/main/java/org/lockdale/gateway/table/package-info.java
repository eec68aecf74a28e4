/** Copies of tables in a shared store, kept current by scans, change polling and relays. */
@NullMarked
package org.lockdale.gateway.table;

import org.jspecify.annotations.NullMarked;
