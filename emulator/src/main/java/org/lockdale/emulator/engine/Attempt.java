package org.lockdale.emulator.engine;

/** An attempt inside an engine. */
final class Attempt {

  final EngineRequest request;
  final long arrival;
  EngineOutput output;
  AttemptFate fate = AttemptFate.NEVER_STARTED;
  int cachedTokens;
  int prefillLeft;
  int generated;

  Attempt(EngineRequest request, long arrival, EngineOutput output) {
    this.request = request;
    this.arrival = arrival;
    this.output = output;
  }

  boolean isPrefilling() {
    return prefillLeft > 0;
  }

  boolean isWhole() {
    return generated >= request.maxTokens();
  }

  EngineUsage usage() {
    return new EngineUsage(request.promptTokens(), cachedTokens, generated);
  }
}
