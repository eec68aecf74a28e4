/**
 * Where streams began. What backends of different software versions write does not fit together, so
 * a stream is resumed only in the pool and at the software version that sent its first event.
 */
@NullMarked
package org.lockdale.gateway.resume;

import org.jspecify.annotations.NullMarked;
