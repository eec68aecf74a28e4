/** Microbenchmarks, run by {@code java -jar benchmarks/target/benchmarks.jar -prof gc}. */
@NullMarked
package org.lockdale.benchmarks;

import org.jspecify.annotations.NullMarked;
