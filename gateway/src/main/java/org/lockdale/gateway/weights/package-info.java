/** Rollout of new model weights to the engines by one coordinator at a time. */
@NullMarked
package org.lockdale.gateway.weights;

import org.jspecify.annotations.NullMarked;
