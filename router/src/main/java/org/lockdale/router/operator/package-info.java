/** The operators' HTTP interface: health, metrics, status, explanation and configuration. */
@NullMarked
package org.lockdale.router.operator;

import org.jspecify.annotations.NullMarked;
