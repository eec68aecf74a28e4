/**
 * The HTTP interface of operators: health, metrics, status, explanation of routing and
 * configuration.
 */
@NullMarked
package org.lockdale.router.operator;

import org.jspecify.annotations.NullMarked;
