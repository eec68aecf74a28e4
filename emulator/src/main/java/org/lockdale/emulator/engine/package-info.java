/**
 * Emulated inference engine with continuous batching, a bounded prefix cache and records of every
 * run.
 */
@NullMarked
package org.lockdale.emulator.engine;

import org.jspecify.annotations.NullMarked;
