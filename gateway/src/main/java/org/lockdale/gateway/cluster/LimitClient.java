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
 * Asks the relay that decides on limits whether to admit a request, and lends it this node's share
 * of the limits. If there is no relay, this node decides by its own share. Requests may come from
 * any thread; everything else runs on one event loop.
 */
public final class LimitClient implements TenantLimiter {

  /** Most questions for one request: enough to give a relay up and ask the next one. */
  private static final int MAX_QUESTIONS = 4;

  /** Unanswered questions in a row after which a relay is no longer asked. */
  private static final int MAX_UNANSWERED_QUESTIONS = 3;

  /**
   * Dependencies of a client.
   *
   * @param selfId id of this node
   * @param eventLoop runs the client
   * @param datagrams sends questions and loans
   * @param limitRelays supplies the ids of the relays that may decide, the most senior first; this
   *     node if there is none
   * @param onSilent receives the id of a relay that no longer answers
   * @param responder decides if there is no relay
   * @param nodes supplies the number of nodes, or 0 while it is unknown
   * @param bound how far tenants may exceed their limits
   * @param startedAtMillis monotonic time at which the process started
   * @param time clock
   */
  public record Context(
      String selfId,
      EventLoop eventLoop,
      DatagramExchange datagrams,
      Supplier<List<String>> limitRelays,
      Consumer<String> onSilent,
      LimitResponder responder,
      IntSupplier nodes,
      LimitBound bound,
      long startedAtMillis,
      Time time) {}

  private record PendingQuestion(
      String tenant,
      TenantLimit limit,
      double amount,
      long askedAtMillis,
      int questions,
      CompletableFuture<Admission> result) {}

  private final Context context;
  private final LoanSender shareLoans;
  private final LoanSender reserveLoans;
  private final ReturnedAmounts returnedAmounts = new ReturnedAmounts();
  private final Map<String, LoanSender.Relay> relays = new HashMap<>();
  private final Map<Long, PendingQuestion> pending = new HashMap<>();
  private long lastNumber;
  private int unansweredQuestions;
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

  /** Processes the notice that a relay no longer uses this node's share. */
  void onReleased(String relay, ShareReleased released) {
    (released.getReserve() ? reserveLoans : shareLoans).onReleased(relay, released);
  }

  @Override
  public CompletableFuture<Admission> admit(String tenant, TenantLimit limit, double amount) {
    CompletableFuture<Admission> result = new CompletableFuture<>();
    context.eventLoop().execute(() -> admit(tenant, limit, amount, result));
    return result;
  }

  private void admit(
      String tenant, TenantLimit limit, double amount, CompletableFuture<Admission> result) {
    long now = context.time().monotonicMillis();
    returnedAmounts
        .take(tenant, amount, now)
        .ifPresentOrElse(
            result::complete,
            () -> ask(new PendingQuestion(tenant, limit, amount, now, 1, result)));
  }

  private void ask(PendingQuestion question) {
    String limitRelay = limitRelays().get(0);
    LoanSender.Relay relay = relays.get(limitRelay);
    if (relay == null) {
      conclude(question, context.responder().take(question.tenant(), question.amount()));
      return;
    }
    long number = ++lastNumber;
    pending.put(number, question);
    AdmissionQuestion message = new AdmissionQuestion(number, question.tenant(), question.amount());
    context.datagrams().send(relay.address(), message);
    context
        .eventLoop()
        .schedule(
            () -> onTimeout(number, limitRelay),
            PlacementClient.ANSWER_TIMEOUT.toMillis(),
            TimeUnit.MILLISECONDS);
  }

  private void onTimeout(long number, String relay) {
    PendingQuestion question = pending.remove(number);
    if (question == null) {
      return;
    }
    unansweredQuestions++;
    if (unansweredQuestions >= MAX_UNANSWERED_QUESTIONS) {
      unansweredQuestions = 0;
      Logger.info("event=relay-silent relay={}", relay);
      context.onSilent().accept(relay);
      renewLoans();
    }
    if (question.questions() >= MAX_QUESTIONS) {
      question.result().complete(new Admission.Unknown());
    } else {
      retry(question);
    }
  }

  private void retry(PendingQuestion question) {
    ask(
        new PendingQuestion(
            question.tenant(),
            question.limit(),
            question.amount(),
            context.time().monotonicMillis(),
            question.questions() + 1,
            question.result()));
  }

  /** Processes an answer. */
  void onAnswer(AdmissionAnswer answer) {
    PendingQuestion question = pending.remove(answer.getNumber());
    if (question == null) {
      return;
    }
    unansweredQuestions = 0;
    OptionalLong retryAfter =
        answer.getAdmitted() ? OptionalLong.empty() : OptionalLong.of(answer.getRetryAfterMillis());
    conclude(question, retryAfter);
  }

  private void conclude(PendingQuestion question, OptionalLong retryAfter) {
    if (retryAfter.isPresent()) {
      question.result().complete(new Admission.Denied(retryAfter.getAsLong()));
      return;
    }
    Allowance allowance = Allowance.of(question.limit(), context.bound());
    long until = question.askedAtMillis() + allowance.returnMillis();
    question.result().complete(new Admission.Granted(question.tenant(), question.amount(), until));
  }

  @Override
  public void refund(Admission.Granted granted) {
    context
        .eventLoop()
        .execute(() -> returnedAmounts.add(granted, context.time().monotonicMillis()));
  }
}
