/** The interface of the transactional table service that coordination uses. */
@NullMarked
package org.lockdale.coordination.table;

import org.jspecify.annotations.NullMarked;
