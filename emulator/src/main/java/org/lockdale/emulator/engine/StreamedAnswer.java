package org.lockdale.emulator.engine;

/** Output of an attempt on its way to an HTTP client. */
interface StreamedAnswer extends EngineOutput {

  /** Called once after the engine accepted the attempt and before any output. */
  void start();
}
