package org.lockdale.router.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.claim.HeldClaim;
import org.lockdale.coordination.placement.PrefixChain;
import org.lockdale.http.HttpExchange;
import org.lockdale.openai.CompletionRequest;
import org.lockdale.router.placement.Placement;
import org.lockdale.router.placement.Popularity;
import org.lockdale.router.policy.PolicySet;
import org.lockdale.router.policy.Route;
import org.lockdale.router.policy.ServedModel;
import org.lockdale.router.policy.Tenant;

/**
 * State of one request, written by its steps and {@link RequestPath}. Confined to the event loop of
 * the caller's connection, except while the request is queued: then it is placed on the thread that
 * drains the queue. A request uses one version of the policies throughout.
 */
final class RequestContext {

  /** A stage with the {@link System#nanoTime} at which the request entered it. */
  record StageTime(RequestStage stage, long nanos) {}

  final HttpExchange exchange;
  final String requestId;
  final PolicySet policies;
  final CompletionRequest.Kind kind;
  private final List<StageTime> stages = new ArrayList<>();

  @Nullable Tenant tenant;
  @Nullable CompletionRequest request;
  @Nullable ServedModel model;
  @Nullable Map<String, String> labels;
  @Nullable Route route;
  @Nullable String idempotencyKey;
  @Nullable PrefixChain chain;
  @Nullable Popularity popularity;
  @Nullable Placement placement;
  @Nullable HeldClaim claim;
  String attemptId = "";
  String weightsVersion = "";
  String cacheSalt = "";
  long deadlineNanos = Long.MAX_VALUE;
  int promptTokens;
  int attempts;
  int cachedTokens;
  int relayedEvents;

  /** Whether an earlier attempt may have run, whatever the outcome of later ones. */
  boolean mayHaveRun;

  boolean callerDisconnected;
  boolean tenantSlotAcquired;
  final Set<String> excludedEngines = new HashSet<>();

  RequestContext(
      HttpExchange exchange, String requestId, PolicySet policies, CompletionRequest.Kind kind) {
    this.exchange = exchange;
    this.requestId = requestId;
    this.policies = policies;
    this.kind = kind;
    stages.add(new StageTime(RequestStage.RECEIVED, exchange.receivedNanos()));
  }

  void enter(RequestStage stage) {
    stages.add(new StageTime(stage, System.nanoTime()));
  }

  /**
   * Returns the milliseconds from the request's arrival until it first entered a stage, or -1 if it
   * has not.
   */
  long millisTo(RequestStage wanted) {
    for (StageTime entry : stages) {
      if (entry.stage() == wanted) {
        return TimeUnit.NANOSECONDS.toMillis(entry.nanos() - exchange.receivedNanos());
      }
    }
    return -1;
  }

  long millisToDeadline() {
    return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
  }

  boolean isRunOnce() {
    return idempotencyKey != null;
  }

  String tenantName() {
    return tenant == null ? "" : tenant.name();
  }

  String engineId() {
    return placement == null ? "" : placement.engine().id();
  }

  /** Returns the stages with their times in milliseconds, for one log line. */
  String timeline() {
    StringBuilder text = new StringBuilder();
    for (StageTime entry : stages) {
      long millis = TimeUnit.NANOSECONDS.toMillis(entry.nanos() - exchange.receivedNanos());
      text.append(text.length() == 0 ? "" : ",").append(entry.stage()).append('@').append(millis);
    }
    return text.toString();
  }
}
