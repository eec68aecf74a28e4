/** Controllers, which keep the sections of the blackboard up to date. */
@NullMarked
package org.lockdale.router.controller;

import org.jspecify.annotations.NullMarked;
