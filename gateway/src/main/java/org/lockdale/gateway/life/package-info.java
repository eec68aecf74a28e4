/**
 * Incarnations of backends: which one a record refers to, and how all nodes learn that one has
 * ended.
 */
@NullMarked
package org.lockdale.gateway.life;

import org.jspecify.annotations.NullMarked;
