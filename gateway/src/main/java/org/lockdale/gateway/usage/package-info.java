/**
 * Measures the resource usage of a node: processor time by thread, and bytes by kind of message.
 */
@NullMarked
package org.lockdale.gateway.usage;

import org.jspecify.annotations.NullMarked;
