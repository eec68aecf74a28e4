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
import org.lockdale.gateway.limit.Deciders;
import org.lockdale.gateway.limit.LimitBound;
import org.lockdale.gateway.limit.ReturnedAmounts;
import org.lockdale.gateway.limit.ShareLender;
import org.lockdale.gateway.limit.TenantLimiter;
import org.lockdale.protocol.generated.AdmissionAnswer;
import org.lockdale.protocol.generated.AdmissionQuestion;
import org.lockdale.protocol.generated.RelayHeartbeat;
import org.lockdale.protocol.generated.ShareReleased;
import org.tinylog.Logger;

/**
 * Asks the relay that decides on limits for each request, and lends it this node's share of them.
 * Where there is no relay, this node decides by its own share. Requests may come from any thread;
 * the rest runs on one event loop.
 */
public final class LimitClient implements TenantLimiter {

  /** Questions for one request: enough to turn to another relay and ask that one. */
  private static final int MAX_QUESTIONS = 4;

  /** Questions in a row without an answer after which a relay is no longer asked. */
  private static final int MAX_SILENT_QUESTIONS = 3;

  /**
   * Where a node finds what it needs to ask.
   *
   * @param selfId id of this node
   * @param eventLoop runs the client
   * @param datagrams carries questions and loans
   * @param deciders tells the ids of the relays that may decide, the most senior first; this node
   *     where there is none
   * @param onSilent told of a relay that no longer answers
   * @param responder decides where there is no relay
   * @param nodes tells the number of nodes, or 0 where it is not known yet
   * @param bound how far tenants may go beyond their limits
   * @param startedAtMillis monotonic time at which the process began
   * @param time clock
   */
  public record Context(
      String selfId,
      EventLoop eventLoop,
      DatagramExchange datagrams,
      Supplier<List<String>> deciders,
      Consumer<String> onSilent,
      LimitResponder responder,
      IntSupplier nodes,
      LimitBound bound,
      long startedAtMillis,
      Time time) {}

  private record Open(
      String tenant,
      TenantLimit limit,
      double amount,
      long askedAtMillis,
      int questions,
      CompletableFuture<Admission> result) {}

  private final Context context;
  private final LoanSender shares;
  private final LoanSender reserves;
  private final ReturnedAmounts returned = new ReturnedAmounts();
  private final Map<String, LoanSender.Relay> heard = new HashMap<>();
  private final Map<Long, Open> open = new HashMap<>();
  private long numbers;
  private int silentQuestions;
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
    this.shares = new LoanSender(loans, false, this::lend);
    this.reserves = new LoanSender(loans, true, this::lend);
  }

  /** Begins or ceases to lend; without limits there is nothing to lend. */
  public void lend(boolean wanted) {
    lending = wanted;
    lend();
  }

  /** Takes in a heartbeat, and answers it where its sender decides for this node. */
  void heard(String relay, InetSocketAddress address, RelayHeartbeat heartbeat) {
    long now = context.time().monotonicMillis();
    heard.put(
        relay,
        new LoanSender.Relay(
            address,
            new ShareLender.Heartbeat(relay, heartbeat.getLife(), heartbeat.getSentAt(), now),
            heartbeat.getLentShare()));
    lend();
  }

  /** The reserve lies with the relay that follows when the first one fails. */
  private void lend() {
    if (!lending) {
      return;
    }
    List<String> deciders = deciders();
    lend(shares, deciders.get(0));
    lend(reserves, deciders.get(Math.min(1, deciders.size() - 1)));
  }

  private List<String> deciders() {
    return Deciders.inOrder(context.deciders().get(), this::shareOf);
  }

  private double shareOf(String relay) {
    LoanSender.Relay known = heard.get(relay);
    return known == null ? context.responder().share() : known.share();
  }

  private void lend(LoanSender sender, String decider) {
    LoanSender.Relay relay = heard.get(decider);
    if (decider.equals(context.selfId())) {
      sender.lendToSelf();
    } else if (relay != null) {
      sender.lendTo(relay);
    }
  }

  /** Takes in that a relay no longer uses this node's share. */
  void released(String relay, ShareReleased released) {
    (released.getReserve() ? reserves : shares).released(relay, released);
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
    returned
        .take(tenant, amount, now)
        .ifPresentOrElse(
            result::complete, () -> ask(new Open(tenant, limit, amount, now, 1, result)));
  }

  private void ask(Open question) {
    String decider = deciders().get(0);
    LoanSender.Relay relay = heard.get(decider);
    if (relay == null) {
      decided(question, context.responder().take(question.tenant(), question.amount()));
      return;
    }
    long number = ++numbers;
    open.put(number, question);
    AdmissionQuestion message = new AdmissionQuestion(number, question.tenant(), question.amount());
    context.datagrams().send(relay.address(), message);
    context
        .eventLoop()
        .schedule(
            () -> unanswered(number, decider),
            PlacementClient.ANSWER_TIME.toMillis(),
            TimeUnit.MILLISECONDS);
  }

  private void unanswered(long number, String relay) {
    Open question = open.remove(number);
    if (question == null) {
      return;
    }
    silentQuestions++;
    if (silentQuestions >= MAX_SILENT_QUESTIONS) {
      silentQuestions = 0;
      Logger.info("event=relay-silent relay={}", relay);
      context.onSilent().accept(relay);
      lend();
    }
    if (question.questions() >= MAX_QUESTIONS) {
      question.result().complete(new Admission.Unknown());
    } else {
      askAgain(question);
    }
  }

  private void askAgain(Open question) {
    ask(
        new Open(
            question.tenant(),
            question.limit(),
            question.amount(),
            context.time().monotonicMillis(),
            question.questions() + 1,
            question.result()));
  }

  /** Takes in an answer. */
  void answered(AdmissionAnswer answer) {
    Open question = open.remove(answer.getNumber());
    if (question == null) {
      return;
    }
    silentQuestions = 0;
    OptionalLong retryAfter =
        answer.getAdmitted() ? OptionalLong.empty() : OptionalLong.of(answer.getRetryAfterMillis());
    decided(question, retryAfter);
  }

  private void decided(Open question, OptionalLong retryAfter) {
    if (retryAfter.isPresent()) {
      question.result().complete(new Admission.Beyond(retryAfter.getAsLong()));
      return;
    }
    Allowance allowance = Allowance.of(question.limit(), context.bound());
    long until = question.askedAtMillis() + allowance.returnMillis();
    question.result().complete(new Admission.Granted(question.tenant(), question.amount(), until));
  }

  @Override
  public void giveBack(Admission.Granted granted) {
    context.eventLoop().execute(() -> returned.add(granted, context.time().monotonicMillis()));
  }
}
