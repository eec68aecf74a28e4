/** Declaration, parsing and validation of settings, shared by all daemons. */
@NullMarked
package org.lockdale.settings;

import org.jspecify.annotations.NullMarked;
