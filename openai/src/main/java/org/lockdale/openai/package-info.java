/** Types of the OpenAI-compatible API, shared by the daemon and the stand-ins. */
@NullMarked
package org.lockdale.openai;

import org.jspecify.annotations.NullMarked;
