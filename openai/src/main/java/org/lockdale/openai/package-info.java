/** Types of the OpenAI-compatible API, shared by the router, the command line and the stand-ins. */
@NullMarked
package org.lockdale.openai;

import org.jspecify.annotations.NullMarked;
