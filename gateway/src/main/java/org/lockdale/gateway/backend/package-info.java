/** Backends: their records in the shared store, and their behaviour as observed by this node. */
@NullMarked
package org.lockdale.gateway.backend;

import org.jspecify.annotations.NullMarked;
