package org.lockdale.gateway.cluster;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.configuration.TenantLimit;
import org.lockdale.gateway.limit.Admission;
import org.lockdale.gateway.limit.Allowance;
import org.lockdale.gateway.limit.LimitBound;
import org.lockdale.gateway.limit.LimitRelaySelector;
import org.lockdale.gateway.limit.ReturnedAmounts;
import org.lockdale.gateway.limit.ShareLender;
import org.lockdale.gateway.limit.TenantLimiter;
import org.lockdale.protocol.generated.AdmissionAnswer;
import org.lockdale.protocol.generated.AdmissionQuestion;
import org.lockdale.protocol.generated.RelayHeartbeat;
import org.lockdale.protocol.generated.ShareReleased;
import org.tinylog.Logger;

/**
 * Queries the relay that decides on limits whether to admit a request, and lends it this node's
 * share of the limits. If there is no relay, this node decides by its own share. Requests may come
 * from any thread; everything else runs on one event loop.
 */
public final class LimitClient implements TenantLimiter {

  /**
   * Maximum number of queries for one request: enough to give up on one relay and query the next.
   */
  private static final int MAX_QUERIES = 4;

  /** Number of unanswered queries in a row after which a relay is no longer queried. */
  private static final int MAX_UNANSWERED_QUERIES = 3;

  /** Interval at which a waiting request is decided on again, in milliseconds. */
  private static final long WAIT_INTERVAL_MILLIS = 50;

  private static final double MAJORITY = 0.5;

  /**
   * Dependencies of a client.
   *
   * @param selfId id of this node
   * @param eventLoop runs the client
   * @param datagrams sends queries and loans
   * @param limitRelays supplies the ids of the relays that may decide, the most senior first; this
   *     node if there is none
   * @param onUnresponsive receives the id of a relay that no longer responds
   * @param responder decides if there is no relay
   * @param nodes supplies the number of nodes, or 0 while it is unknown
   * @param bound how far tenants may exceed their limits
   * @param waits whether requests wait while the limit relay has too few shares
   * @param startedAtMillis monotonic time at which the process started
   * @param time clock
   */
  public record Context(
      String selfId,
      EventLoop eventLoop,
      DatagramExchange datagrams,
      Supplier<List<String>> limitRelays,
      Consumer<String> onUnresponsive,
      LimitResponder responder,
      IntSupplier nodes,
      LimitBound bound,
      boolean waits,
      long startedAtMillis,
      Time time) {}

  private record PendingQuery(
      String tenant,
      TenantLimit limit,
      double amount,
      long sentAtMillis,
      int queries,
      long waitUntilMillis,
      boolean hasWaited,
      CompletableFuture<Admission> result) {

    PendingQuery again(int number, long nowMillis) {
      return new PendingQuery(
          tenant, limit, amount, nowMillis, number, waitUntilMillis, hasWaited, result);
    }

    PendingQuery afterWait(long nowMillis) {
      return new PendingQuery(tenant, limit, amount, nowMillis, 1, waitUntilMillis, true, result);
    }
  }

  private final Context context;
  private final LoanSender shareLoans;
  private final LoanSender reserveLoans;
  private final ReturnedAmounts returnedAmounts = new ReturnedAmounts();
  private final Map<String, LoanSender.Relay> relays = new HashMap<>();
  private final Map<Long, PendingQuery> pending = new HashMap<>();
  private long lastNumber;
  private int unansweredQueries;
  private boolean lending;

  /** Creates a client. */
  public LimitClient(Context context) {
    this.context = context;
    LoanSender.Context loans =
        new LoanSender.Context(
            context.selfId(),
            context.eventLoop(),
            context.datagrams()::send,
            context.responder(),
            context.nodes(),
            context.startedAtMillis(),
            context.time());
    this.shareLoans = new LoanSender(loans, false, this::renewLoans);
    this.reserveLoans = new LoanSender(loans, true, this::renewLoans);
  }

  /** Sets whether this node lends its shares; without limits there is nothing to lend. */
  public void setLending(boolean wanted) {
    lending = wanted;
    renewLoans();
  }

  /** Processes a heartbeat, and answers it with a loan if its sender decides for this node. */
  void onHeartbeat(String relay, InetSocketAddress address, RelayHeartbeat heartbeat) {
    long now = context.time().monotonicMillis();
    relays.put(
        relay,
        new LoanSender.Relay(
            address,
            new ShareLender.Heartbeat(relay, heartbeat.getLife(), heartbeat.getSentAt(), now),
            heartbeat.getLentShare()));
    renewLoans();
  }

  /**
   * Lends the share to the relay that decides, and the reserve to the one that takes over if the
   * first fails.
   */
  private void renewLoans() {
    if (!lending) {
      return;
    }
    List<String> limitRelays = limitRelays();
    renewLoan(shareLoans, limitRelays.get(0));
    renewLoan(reserveLoans, limitRelays.get(Math.min(1, limitRelays.size() - 1)));
  }

  private List<String> limitRelays() {
    return LimitRelaySelector.inOrder(context.limitRelays().get(), this::shareOf);
  }

  private double shareOf(String relay) {
    LoanSender.Relay known = relays.get(relay);
    return known == null ? context.responder().share() : known.share();
  }

  private void renewLoan(LoanSender sender, String limitRelay) {
    LoanSender.Relay relay = relays.get(limitRelay);
    if (limitRelay.equals(context.selfId())) {
      sender.lendToSelf();
    } else if (relay != null) {
      sender.lendTo(relay);
    }
  }

  /** Processes the message that a relay no longer uses this node's share. */
  void onReleased(String relay, ShareReleased released) {
    (released.getReserve() ? reserveLoans : shareLoans).onReleased(relay, released);
  }

  /**
   * Returns whether this node is the first of the relays that decide on limits, in its own view; to
   * be called on the event loop.
   */
  public boolean isFirst() {
    return limitRelays().get(0).equals(context.selfId());
  }

  @Override
  public CompletableFuture<Admission> admit(
      String tenant, TenantLimit limit, double amount, long maxWaitMillis) {
    CompletableFuture<Admission> result = new CompletableFuture<>();
    long now = context.time().monotonicMillis();
    long waitUntil = context.waits() ? now + maxWaitMillis : now;
    context.eventLoop().execute(() -> admit(tenant, limit, amount, waitUntil, result));
    return result;
  }

  private void admit(
      String tenant,
      TenantLimit limit,
      double amount,
      long waitUntilMillis,
      CompletableFuture<Admission> result) {
    long now = context.time().monotonicMillis();
    returnedAmounts
        .take(tenant, amount, now)
        .ifPresentOrElse(
            result::complete,
            () ->
                sendQuery(
                    new PendingQuery(
                        tenant, limit, amount, now, 1, waitUntilMillis, false, result)));
  }

  private void sendQuery(PendingQuery query) {
    String limitRelay = limitRelays().get(0);
    LoanSender.Relay relay = relays.get(limitRelay);
    if (relay == null) {
      conclude(query, context.responder().take(query.tenant(), query.amount()));
      return;
    }
    long number = ++lastNumber;
    pending.put(number, query);
    AdmissionQuestion message = new AdmissionQuestion(number, query.tenant(), query.amount());
    context.datagrams().send(relay.address(), message);
    context
        .eventLoop()
        .schedule(
            () -> onTimeout(number, limitRelay),
            PlacementClient.ANSWER_TIMEOUT.toMillis(),
            TimeUnit.MILLISECONDS);
  }

  private void onTimeout(long number, String relay) {
    PendingQuery query = pending.remove(number);
    if (query == null) {
      return;
    }
    unansweredQueries++;
    if (unansweredQueries >= MAX_UNANSWERED_QUERIES) {
      unansweredQueries = 0;
      Logger.info("event=relay-silent relay={}", relay);
      context.onUnresponsive().accept(relay);
      renewLoans();
    }
    if (query.queries() >= MAX_QUERIES) {
      query.result().complete(new Admission.Unknown());
    } else {
      sendQuery(query.again(query.queries() + 1, context.time().monotonicMillis()));
    }
  }

  /** Processes an answer. */
  void onAnswer(AdmissionAnswer answer) {
    PendingQuery query = pending.remove(answer.getNumber());
    if (query == null) {
      return;
    }
    unansweredQueries = 0;
    OptionalLong retryAfter =
        answer.getAdmitted() ? OptionalLong.empty() : OptionalLong.of(answer.getRetryAfterMillis());
    conclude(query, retryAfter);
  }

  private void conclude(PendingQuery query, OptionalLong retryAfter) {
    if (retryAfter.isPresent() && mayWait(query)) {
      context
          .eventLoop()
          .schedule(
              () -> sendQuery(query.afterWait(context.time().monotonicMillis())),
              WAIT_INTERVAL_MILLIS,
              TimeUnit.MILLISECONDS);
      return;
    }
    if (retryAfter.isPresent()) {
      query.result().complete(new Admission.Denied(retryAfter.getAsLong()));
      return;
    }
    Allowance allowance = Allowance.of(query.limit(), context.bound());
    long until = query.sentAtMillis() + allowance.returnMillis();
    query.result().complete(new Admission.Granted(query.tenant(), query.amount(), until));
  }

  /**
   * Returns whether a refused request waits: no relay has most of the shares, so the refusal says
   * nothing about the tenant. One that has waited for shares waits on, as buckets have to fill
   * after the shares have arrived.
   */
  private boolean mayWait(PendingQuery query) {
    long next = context.time().monotonicMillis() + WAIT_INTERVAL_MILLIS;
    boolean lacksShares = shareOf(limitRelays().get(0)) <= MAJORITY;
    return next <= query.waitUntilMillis() && (lacksShares || query.hasWaited());
  }

  @Override
  public void refund(Admission.Granted granted) {
    context
        .eventLoop()
        .execute(() -> returnedAmounts.add(granted, context.time().monotonicMillis()));
  }
}
