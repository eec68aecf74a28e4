/** Adapters to the platform: table service and machine list over HTTP. */
@NullMarked
package org.lockdale.router.platform;

import org.jspecify.annotations.NullMarked;
