package org.lockdale.router.request;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.lockdale.openai.CompletionRequest;
import org.lockdale.openai.HeaderNames;
import org.lockdale.openai.InvalidRequestException;
import org.lockdale.router.error.ErrorKind;
import org.lockdale.router.error.RequestException;
import org.lockdale.router.policy.ServedModel;

/** Parses the body, the idempotency key and the deadline of the request. */
final class ParsingStep implements RequestStep {

  private static final int BYTES_PER_TOKEN = 4;
  private static final int MAX_KEY_LENGTH = 255;

  @Override
  public CompletableFuture<Next> apply(RequestContext context) {
    String contentType = Objects.requireNonNullElse(context.exchange.header("content-type"), "");
    if (!contentType.startsWith("application/json")) {
      throw RequestException.of(
          ErrorKind.UNSUPPORTED_MEDIA_TYPE,
          "The content type '" + contentType + "' is not supported.");
    }
    CompletionRequest request = parse(context);
    ServedModel model = context.policies.models().get(request.model());
    if (model == null) {
      throw RequestException.builder(
              ErrorKind.UNKNOWN_MODEL, "The model '" + request.model() + "' does not exist.")
          .parameter("model")
          .build();
    }
    context.request = request;
    context.model = model;
    context.promptTokens =
        Math.max(1, (request.prompt().length + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
    context.idempotencyKey = idempotencyKey(context);
    readDeadline(context);
    return CONTINUE;
  }

  private static CompletionRequest parse(RequestContext context) {
    try {
      return CompletionRequest.parse(context.kind, context.exchange.body());
    } catch (InvalidRequestException invalid) {
      throw RequestException.builder(ErrorKind.INVALID_REQUEST, invalid.getMessage())
          .code(invalid.code())
          .parameter(invalid.parameter())
          .build();
    }
  }

  private static @Nullable String idempotencyKey(RequestContext context) {
    String key = context.exchange.header(HeaderNames.IDEMPOTENCY_KEY);
    if (key != null && (key.isEmpty() || key.length() > MAX_KEY_LENGTH)) {
      throw RequestException.of(
          ErrorKind.INVALID_REQUEST,
          "The idempotency key must have 1 to " + MAX_KEY_LENGTH + " characters.");
    }
    return key;
  }

  private static void readDeadline(RequestContext context) {
    String header = context.exchange.header(HeaderNames.DEADLINE_MILLIS);
    if (header == null) {
      return;
    }
    long millis;
    try {
      millis = Long.parseLong(header.trim());
    } catch (NumberFormatException notANumber) {
      throw RequestException.of(
          ErrorKind.INVALID_REQUEST,
          "The header " + HeaderNames.DEADLINE_MILLIS + " must be a whole number.");
    }
    if (millis <= 0) {
      throw RequestException.of(
          ErrorKind.DEADLINE_EXPIRED, "The deadline had passed when the request arrived.");
    }
    context.deadlineNanos =
        context.exchange.receivedNanos() + TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
