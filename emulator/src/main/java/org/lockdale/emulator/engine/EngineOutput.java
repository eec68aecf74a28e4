package org.lockdale.emulator.engine;

/** Receives the output of one attempt, on the engine's thread. */
public interface EngineOutput {

  /**
   * Receives a token.
   *
   * @param index counted from 0 without gaps
   */
  void onToken(int index, String text);

  /** Called after the last token. */
  void onFinished(EngineUsage usage);

  /** Called when the output ends before the response is complete. */
  void onBroken(String reason);
}
