/** Rows that the quarantine keeps in the shared store: how they are changed, and when removed. */
@NullMarked
package org.lockdale.gateway.quarantine.row;

import org.jspecify.annotations.NullMarked;
