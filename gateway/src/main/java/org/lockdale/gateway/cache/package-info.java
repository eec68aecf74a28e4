/**
 * Known locations of cached prompts, and their transfer between holders instead of computing them
 * again.
 */
@NullMarked
package org.lockdale.gateway.cache;

import org.jspecify.annotations.NullMarked;
