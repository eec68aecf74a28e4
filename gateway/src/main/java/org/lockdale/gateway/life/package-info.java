/**
 * Incarnations of backends: which one a record refers to, and how all nodes learn that one is over.
 */
@NullMarked
package org.lockdale.gateway.life;

import org.jspecify.annotations.NullMarked;
