package org.lockdale.emulator.engine;

import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpReply;
import org.lockdale.openai.CompletionJson;
import org.lockdale.openai.HeaderNames;

/** Collects output and sends it as one JSON body when it is complete. */
final class JsonResponse implements ResponseOutput {

  private final HttpExchange exchange;
  private final CompletionJson json;
  private final String attemptId;
  private final String incarnation;
  private final StringBuilder text = new StringBuilder();

  JsonResponse(HttpExchange exchange, CompletionJson json, String attemptId, String incarnation) {
    this.exchange = exchange;
    this.json = json;
    this.attemptId = attemptId;
    this.incarnation = incarnation;
  }

  @Override
  public void start() {
    // Nothing is sent before the response is complete.
  }

  @Override
  public void onToken(int index, String token) {
    text.append(token);
  }

  @Override
  public void onFinished(EngineUsage usage) {
    byte[] body =
        json.completion(
            text.toString(), usage.promptTokens(), usage.cachedTokens(), usage.completionTokens());
    exchange.reply(
        HttpReply.json(200, body)
            .with(HeaderNames.ATTEMPT_ID, attemptId)
            .with(HeaderNames.ENGINE_INCARNATION, incarnation));
  }

  @Override
  public void onBroken(String reason) {
    exchange.abort();
  }
}
