/** Model engines as a node sees and calls them. */
@NullMarked
package org.lockdale.router.engine;

import org.jspecify.annotations.NullMarked;
