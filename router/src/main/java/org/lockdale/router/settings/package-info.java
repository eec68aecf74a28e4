/** Settings of a node, each declared once with its type, default, range and description. */
@NullMarked
package org.lockdale.router.settings;

import org.jspecify.annotations.NullMarked;
