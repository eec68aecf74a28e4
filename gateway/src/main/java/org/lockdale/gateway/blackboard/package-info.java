/** What a node believes: sections that controllers write and everything else reads. */
@NullMarked
package org.lockdale.gateway.blackboard;

import org.jspecify.annotations.NullMarked;
