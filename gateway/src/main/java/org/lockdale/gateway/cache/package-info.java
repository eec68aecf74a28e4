/** Where cached prompts are believed to be, and how they are moved instead of computed anew. */
@NullMarked
package org.lockdale.gateway.cache;

import org.jspecify.annotations.NullMarked;
