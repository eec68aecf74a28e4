package org.lockdale.emulator.engine;

/** Sends the output of an attempt to an HTTP client. */
interface ResponseOutput extends EngineOutput {

  /** Called once, after the engine accepted the attempt and before any output. */
  void start();
}
