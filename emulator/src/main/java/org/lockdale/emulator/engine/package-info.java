/** Stand-in for a model engine: continuous batching, a bounded prefix cache and true counts. */
@NullMarked
package org.lockdale.emulator.engine;

import org.jspecify.annotations.NullMarked;
