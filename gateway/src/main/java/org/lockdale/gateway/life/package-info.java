/** Lives of back ends: which one a record speaks for, and how their ends are known to all nodes. */
@NullMarked
package org.lockdale.gateway.life;

import org.jspecify.annotations.NullMarked;
