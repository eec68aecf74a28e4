/** Following tables of a shared store by scan and change feed. */
@NullMarked
package org.lockdale.gateway.table;

import org.jspecify.annotations.NullMarked;
