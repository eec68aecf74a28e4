package org.lockdale.emulator.engine;

/** Output of an attempt that is sent to an HTTP client. */
interface ResponseOutput extends EngineOutput {

  /** Called once after the engine accepted the attempt and before any output. */
  void start();
}
