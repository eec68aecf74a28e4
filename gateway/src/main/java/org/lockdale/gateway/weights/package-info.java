/** Moving engines to new model weights, one coordinator at a time. */
@NullMarked
package org.lockdale.gateway.weights;

import org.jspecify.annotations.NullMarked;
