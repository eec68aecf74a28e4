package org.lockdale.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.CompletableFuture;

/** Completes a result with the status of a response when the response ends, or with its failure. */
final class StatusListener implements HttpResponseListener {

  private final CompletableFuture<Integer> result;
  private int received;

  StatusListener(CompletableFuture<Integer> result) {
    this.result = result;
  }

  @Override
  public void onHead(int status, HttpHeaders headers) {
    received = status;
  }

  @Override
  public void onContent(ByteBuf content) {}

  @Override
  public void onEnd() {
    result.complete(received);
  }

  @Override
  public void onFailure(HttpCallException failure) {
    result.completeExceptionally(failure);
  }
}
