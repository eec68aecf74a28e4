/** The transactional table service as coordination needs it. */
@NullMarked
package org.lockdale.coordination.table;

import org.jspecify.annotations.NullMarked;
