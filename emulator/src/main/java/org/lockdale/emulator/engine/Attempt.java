package org.lockdale.emulator.engine;

/** The state of an attempt in an engine. */
final class Attempt {

  final EngineRequest request;
  final long arrivalNumber;
  EngineOutput output;
  AttemptFate fate = AttemptFate.NEVER_STARTED;
  int cachedTokens;
  int remainingPrefillTokens;
  int generatedTokens;

  Attempt(EngineRequest request, long arrival, EngineOutput output) {
    this.request = request;
    this.arrivalNumber = arrival;
    this.output = output;
  }

  boolean isPrefilling() {
    return remainingPrefillTokens > 0;
  }

  boolean isComplete() {
    return generatedTokens >= request.maxTokens();
  }

  EngineUsage usage() {
    return new EngineUsage(request.promptTokens(), cachedTokens, generatedTokens);
  }
}
