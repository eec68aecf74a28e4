package org.lockdale.gateway.request;

import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.admission.AdmissionTerms;
import org.lockdale.gateway.admission.RoomPolicy;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.caller.CallerRequest;
import org.lockdale.gateway.caller.TokenUsage;
import org.lockdale.gateway.capacity.AttemptLoad;
import org.lockdale.gateway.configuration.GatewayConfiguration;
import org.lockdale.gateway.configuration.Route;
import org.lockdale.gateway.configuration.Tenant;
import org.lockdale.gateway.limit.Admission;
import org.lockdale.gateway.limit.RetryBudget;
import org.lockdale.gateway.placement.PromptPlacement;
import org.lockdale.gateway.resume.StreamOrigin;
import org.lockdale.http.HttpExchange;

/**
 * Mutable state of one request while it is processed. Confined to the event loop of the caller's
 * connection.
 */
final class RequestState {

  /** Priority of a deferred request, behind all others. */
  static final int LOWEST_PRIORITY = 9;

  /** Bounds what a caller can claim to need, in tokens; no engine's memory holds as many. */
  private static final long MAX_OUTPUT_TOKENS = 1_000_000;

  /** A request may wait to be sent for the latency objective divided by this. */
  private static final int MAX_WAIT_DIVISOR = 2;

  /**
   * Number of gap objectives for which a request whose response has started may wait to be sent
   * again. Callers wait for at least eight gap objectives; the other half is left for the response.
   */
  private static final int MAX_WAIT_GAPS = 4;

  /** The caller's request; the response to it is written through {@link #response} only. */
  final HttpExchange exchange;

  final CallerResponse response;
  final CallerRequest request;
  final GatewayConfiguration configuration;
  final long configurationAgeMillis;
  final long arrivedAtMillis;

  /** Whether another node has forwarded the request to this one. */
  final boolean receivedFromPeer;

  final Set<String> triedBackends = new HashSet<>();

  final @Nullable PromptPlacement prompt;

  /** Terms of the latest placement; null if it did not wait for room. */
  @Nullable AdmissionTerms terms;

  /** The matching route; null until the route filter has run, which is before any attempt. */
  @Nullable Route route;

  /** Name of the pool chosen among those of the route; empty until it is chosen. */
  String pool = "";

  @Nullable Tenant tenant;

  /** Amount that the request consumed of its tenant's limit; null if there is no limit. */
  Admission.@Nullable Granted granted;

  /** The latest retry that the retry budget has allowed; null if there is none. */
  RetryBudget.@Nullable Retry retry;

  /** Number of attempts after which the backend may have run the request. */
  int possibleRuns;

  /** Number of attempts that reached a backend. */
  int sends;

  int connectFailures;

  /** Number of attempts that were withdrawn before any byte was sent. */
  int withdrawals;

  /** Where the stream began; null if none of its events was sent to the caller. */
  @Nullable StreamOrigin origin;

  /**
   * Whether the request gets the lowest priority, because it would miss its latency objective and
   * make others miss theirs.
   */
  boolean deferred;

  /** Priority that the request gets if it is deferred. */
  int deferredPriority = LOWEST_PRIORITY;

  /** Prompt tokens queued at the chosen engine ahead of this request. */
  long waitingTokens;

  /** Tokens of shared prompt parts that the chosen engine lacks and no engine is known to have. */
  long sharedTokensToCompute;

  /** Id of the backend of the latest attempt; empty before the first one. */
  String backend = "";

  /** Local port of the connection of the latest attempt that has ended; 0 if it had none. */
  int connection;

  RequestState(
      HttpExchange exchange,
      CallerRequest request,
      CallerResponse response,
      GatewayConfiguration configuration,
      long configurationAgeMillis,
      long arrivedAtMillis,
      boolean receivedFromPeer) {
    this.exchange = exchange;
    this.request = request;
    this.configuration = configuration;
    this.configurationAgeMillis = configurationAgeMillis;
    this.arrivedAtMillis = arrivedAtMillis;
    this.receivedFromPeer = receivedFromPeer;
    this.response = response;
    this.prompt =
        request.promptParts().isEmpty() ? null : PromptPlacement.of(request.promptParts());
  }

  /**
   * Returns the estimated number of prompt tokens that the chosen engine has to compute for this
   * request.
   */
  long computedTokens() {
    return prompt == null ? 0 : prompt.ownTokens() + sharedTokensToCompute;
  }

  /**
   * Returns the number of prompt tokens that the chosen engine computes before it sends the first
   * event of this request.
   */
  long tokensUntilFirstEvent() {
    return waitingTokens + computedTokens();
  }

  /**
   * Returns the number of tokens that this request adds to the queue of the chosen engine; 0 if it
   * is deferred.
   */
  long queuedTokens() {
    return deferred ? 0 : computedTokens();
  }

  /** Returns whether a backend has the software version that the stream, if it has begun, needs. */
  boolean isServedBy(Backend backend) {
    StreamOrigin begun = origin;
    return begun == null || begun.softwareVersion().equals(backend.softwareVersion());
  }

  /** Returns the total number of prompt tokens; 0 if the request has no prompt. */
  long promptTokens() {
    return prompt == null ? 0 : prompt.tokens();
  }

  /** Returns what an attempt at a backend asks of it. */
  AttemptLoad attemptLoad(TrackedBackend target) {
    return new AttemptLoad(
        memoryTokens(), computedTokens(), waitingTokens, target.load().openRequests());
  }

  /**
   * Returns the tokens of an engine's memory that the request occupies: those by which it was
   * admitted, or else the caller's estimate.
   */
  private long memoryTokens() {
    AdmissionTerms admitted = terms;
    if (admitted != null) {
      return RoomPolicy.allocatedTokens(admitted);
    }
    TokenUsage usage = request.usage();
    Long expected = usage == null ? null : usage.expectedOutput();
    long output = usage == null ? 0 : expected == null ? usage.maxOutput() : expected;
    return promptTokens() + Math.max(0, Math.min(MAX_OUTPUT_TOKENS, output));
  }

  /** Returns whether a stream missed the latency or gap objective of its route. */
  boolean isLateStream() {
    return response.firstEventMillis() > route().latencyObjective().toMillis()
        || response.longestGapMillis() > route().gapObjective().toMillis();
  }

  /**
   * Returns the name of the tenant, or the key if the tenant is unknown; empty if there is neither.
   */
  String caller() {
    Tenant knownTenant = tenant;
    String key = request.key();
    return knownTenant != null ? knownTenant.name() : key == null ? "" : key;
  }

  /**
   * Returns the route.
   *
   * @throws IllegalStateException if the route filter has not run
   */
  Route route() {
    Route found = route;
    if (found == null) {
      throw new IllegalStateException("the route filter has not run");
    }
    return found;
  }

  /** Returns the monotonic time after which the response is no longer wanted. */
  long deadlineAtMillis() {
    return arrivedAtMillis + Math.min(request.deadlineMillis(), route().timeout().toMillis());
  }

  /**
   * Returns the monotonic time until which the request may wait for a backend that is at its rate
   * limit or in a backoff. The rest of the objective is left for the response.
   */
  long waitDeadlineMillis() {
    return response.hasStarted()
        ? response.latestEventAtMillis() + route().gapObjective().toMillis() * MAX_WAIT_GAPS
        : arrivedAtMillis + route().latencyObjective().toMillis() / MAX_WAIT_DIVISOR;
  }

  /**
   * Returns the priority sent to the backend: a lower one if the request is deferred, else its
   * configured one.
   */
  int priority() {
    return deferred ? deferredPriority : configuredPriority();
  }

  /** Returns the priority of the tenant, or that of the route if the tenant has none. */
  int configuredPriority() {
    Tenant knownTenant = tenant;
    return knownTenant == null || knownTenant.priority() == null
        ? route().priority()
        : knownTenant.priority();
  }
}
