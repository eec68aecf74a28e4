/** Detects the prompt parts that crash backends, and holds back the requests that have them. */
@NullMarked
package org.lockdale.gateway.quarantine.part;

import org.jspecify.annotations.NullMarked;
