/** Controllers: each keeps one section of the blackboard up to date. */
@NullMarked
package org.lockdale.router.controller;

import org.jspecify.annotations.NullMarked;
