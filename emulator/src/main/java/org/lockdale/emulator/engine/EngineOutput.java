package org.lockdale.emulator.engine;

/** Receives the output of one attempt, on the engine's thread. */
public interface EngineOutput {

  /**
   * Receives a token.
   *
   * @param index counted from 0 without gaps
   */
  void onToken(int index, String text);

  /** Called when all tokens have come. */
  void onFinished(EngineUsage usage);

  /** Called when no more tokens will come although the answer is not whole. */
  void onBroken(String reason);
}
