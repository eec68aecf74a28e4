package org.lockdale.gateway.caller;

import org.jspecify.annotations.Nullable;

/**
 * Tokens of a request as its caller specifies them.
 *
 * @param prompt tokens of the prompt
 * @param maxOutput maximum number of tokens of the response
 * @param expectedOutput the caller's estimate of the tokens of the response, or null if it sends
 *     none. It is right at the median and often far off
 */
public record TokenUsage(long prompt, long maxOutput, @Nullable Long expectedOutput) {

  /**
   * Returns the number of tokens of the prompt and of the longest response together.
   *
   * @throws ArithmeticException if the sum overflows
   */
  public long total() {
    return Math.addExact(prompt, maxOutput);
  }
}
