package org.lockdale.gateway.cluster;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.admission.AdmissionTerms;
import org.lockdale.gateway.admission.Ticket;
import org.lockdale.gateway.placement.Placement;
import org.lockdale.gateway.placement.PlacementQuery;
import org.lockdale.gateway.placement.PlacementResult;
import org.lockdale.gateway.placement.PlacementService;
import org.lockdale.protocol.generated.PlacementAnswer;
import org.lockdale.protocol.generated.PlacementDelay;
import org.lockdale.protocol.generated.PlacementTicket;
import org.lockdale.protocol.generated.RateGrant;
import org.lockdale.protocol.generated.TicketCancelled;
import org.lockdale.protocol.generated.TicketHeld;
import org.lockdale.protocol.generated.TicketRefused;
import org.tinylog.Logger;

/**
 * Has a relay place requests that may wait for room, and asks the next one, with the same arrival
 * time, if the first is not heard. Without any relay the queue of this node decides. Requests
 * without terms are placed at once. Requests are placed from any thread; the rest is confined to
 * the event loop.
 */
public final class TicketClient implements PlacementService {

  /** Interval at which open tickets are checked, in milliseconds. */
  private static final long CHECK_MILLIS = 10;

  /** A relay that holds tickets and is not heard for this time, in milliseconds, is not used. */
  private static final long HELD_SILENCE_MILLIS = 250;

  /**
   * Shortest time after which a ticket that a live relay does not mention is asked for again, in
   * milliseconds, and the time for each open ticket: a relay mentions two in 100 ms.
   */
  private static final long TICKET_SILENCE_MILLIS = 1_000;

  private static final long SILENCE_PER_TICKET_MILLIS = 100;

  /** Number of unanswered tickets in a row after which a relay is no longer asked. */
  private static final int MAX_UNANSWERED_TICKETS = 3;

  /**
   * Dependencies of a client.
   *
   * @param eventLoop runs the client
   * @param selfId id of this node
   * @param datagrams sends tickets
   * @param client places requests at once
   * @param admission queue of this node
   * @param loads records the placements that this node makes for itself
   * @param coordinator supplies the relay that places requests, or empty if this node does so
   *     itself
   * @param relays supplies the other relays, the most senior first
   * @param onUnresponsive receives a relay that no longer responds
   * @param time clock
   */
  public record Context(
      EventLoop eventLoop,
      String selfId,
      DatagramExchange datagrams,
      PlacementClient client,
      AdmissionServices admission,
      PeerLoads loads,
      Supplier<Optional<RelayElection.Relay>> coordinator,
      Supplier<List<RelayElection.Relay>> relays,
      Consumer<RelayElection.Relay> onUnresponsive,
      Time time) {}

  private final Context context;
  private final long answerMillis;
  private final Map<Long, OpenTicket> openByNumber = new HashMap<>();
  private final TicketSupport support = new TicketSupport();

  private int unansweredTickets;
  private final OwnPlacements ownPlacements;
  private boolean checking;

  /**
   * Creates a client.
   *
   * @param context dependencies
   * @param answerTimeout how long to wait for a relay's first answer
   */
  public TicketClient(Context context, Duration answerTimeout) {
    this.context = context;
    this.answerMillis = answerTimeout.toMillis();
    this.ownPlacements = new OwnPlacements(context.selfId(), context.loads());
  }

  @Override
  public CompletableFuture<PlacementResult> place(PlacementQuery query) {
    AdmissionTerms terms = query.terms();
    if (terms == null) {
      return context.client().place(query);
    }
    CompletableFuture<PlacementResult> result = new CompletableFuture<>();
    OpenTicket open = new OpenTicket(query, terms, result, now());
    context.eventLoop().execute(() -> start(open));
    result.whenComplete(
        (placed, failure) -> {
          if (result.isCancelled()) {
            context.eventLoop().execute(() -> withdraw(open));
          }
        });
    return result;
  }

  private void start(OpenTicket open) {
    if (open.result.isDone()) {
      return;
    }
    context.coordinator().get().ifPresentOrElse(relay -> ask(relay, open), () -> decide(open));
    check();
  }

  private void ask(RelayElection.Relay relay, OpenTicket open) {
    open.asked.add(relay.id());
    if (support.isAskedWithoutTicket(relay.id(), now())) {
      askWithoutTicket(open);
      return;
    }
    number(open);
    open.relay = relay;
    open.askedMillis = now();
    open.held = false;
    PlacementQuery query = open.queryAt(open.askedMillis);
    context
        .datagrams()
        .sendTicketMessage(
            List.of(relay.address()),
            new PlacementTicket(
                context.client().message(open.number, query),
                PlacementMessages.record(open.termsAt(open.askedMillis))));
  }

  private void number(OpenTicket open) {
    openByNumber.remove(open.number);
    open.number = context.client().nextNumber();
    openByNumber.put(open.number, open);
  }

  private void askWithoutTicket(OpenTicket open) {
    openByNumber.remove(open.number);
    CompletableFuture<PlacementResult> placed = context.client().place(open.query.withTerms(null));
    placed.thenAccept(result -> open.result.complete(result));
    open.result.whenComplete(
        (result, failure) -> {
          if (open.result.isCancelled()) {
            placed.cancel(false);
          }
        });
  }

  /** Has the queue of this node decide. */
  private void decide(OpenTicket open) {
    number(open);
    open.relay = null;
    long now = now();
    open.askedMillis = now;
    long number = open.number;
    context
        .admission()
        .controller()
        .submit(
            new Ticket.Key(context.selfId(), number),
            open.queryAt(now),
            open.termsAt(now),
            true,
            new AdmissionController.Listener() {
              @Override
              public void onResult(PlacementResult result) {
                openByNumber.remove(number);
                ownPlacements.complete(open, result);
              }

              @Override
              public void onHeld(int position, long expectedMillis) {}
            });
    context.admission().timer().onSubmitted();
  }

  /** Withdraws a request whose caller has left or whose deadline has passed. */
  private void withdraw(OpenTicket open) {
    if (openByNumber.remove(open.number) != null) {
      cancel(open);
    }
  }

  private void cancel(OpenTicket open) {
    RelayElection.Relay relay = open.relay;
    if (relay == null) {
      context.admission().controller().cancel(new Ticket.Key(context.selfId(), open.number));
    } else {
      context
          .datagrams()
          .sendTicketMessage(List.of(relay.address()), new TicketCancelled(List.of(open.number)));
    }
  }

  private void check() {
    if (!checking && !openByNumber.isEmpty()) {
      checking = true;
      context
          .eventLoop()
          .schedule(
              () -> {
                checking = false;
                new ArrayList<>(openByNumber.values()).forEach(this::check);
                check();
              },
              CHECK_MILLIS,
              TimeUnit.MILLISECONDS);
    }
  }

  private void check(OpenTicket open) {
    long now = now();
    RelayElection.Relay relay = open.relay;
    if (relay == null) {
      // A relay knows the load of all nodes; this node alone may use a part of each engine.
      if (now - open.askedMillis >= HELD_SILENCE_MILLIS) {
        open.asked.clear();
        context.coordinator().get().ifPresent(found -> move(open, found));
      }
      return;
    }
    long relayHeard = support.heardMillis(relay.id());
    boolean silent =
        open.held
            ? now - relayHeard >= HELD_SILENCE_MILLIS
                || now - open.heardMillis >= ticketSilenceMillis()
            : now - open.askedMillis >= answerMillis;
    if (silent) {
      onSilent(open, relay);
    }
  }

  private long ticketSilenceMillis() {
    return Math.max(TICKET_SILENCE_MILLIS, openByNumber.size() * SILENCE_PER_TICKET_MILLIS);
  }

  private void onSilent(OpenTicket open, RelayElection.Relay relay) {
    if (!open.held && !support.isKnown(relay.id())) {
      support.recordUnanswered(relay.id(), now());
      cancel(open);
      askWithoutTicket(open);
      return;
    }
    if (open.held) {
      Logger.info(
          "event=relay-lost-ticket relay={} ticket={} waited-ms={}",
          relay.id(),
          open.number,
          now() - open.submittedMillis);
      if (now() - support.heardMillis(relay.id()) < HELD_SILENCE_MILLIS) {
        // The relay is alive and has lost this ticket only.
        move(open, relay);
        return;
      }
    }
    unansweredTickets++;
    if (unansweredTickets >= MAX_UNANSWERED_TICKETS) {
      unansweredTickets = 0;
      Logger.info("event=relay-silent relay={}", relay.id());
      context.onUnresponsive().accept(relay);
    }
    cancel(open);
    nextRelay(open).ifPresentOrElse(next -> ask(next, open), () -> decide(open));
  }

  private void move(OpenTicket open, RelayElection.Relay relay) {
    cancel(open);
    ask(relay, open);
  }

  private Optional<RelayElection.Relay> nextRelay(OpenTicket open) {
    return context.relays().get().stream()
        .filter(relay -> !open.asked.contains(relay.id()))
        .findFirst();
  }

  /** Returns the request of an answer; null if it is not, or no longer, asked of the sender. */
  private @Nullable OpenTicket find(String sender, long number) {
    OpenTicket open = openByNumber.get(number);
    RelayElection.Relay relay = open == null ? null : open.relay;
    return relay != null && relay.id().equals(sender) ? open : null;
  }

  private @Nullable OpenTicket heard(String sender, long number) {
    OpenTicket open = find(sender, number);
    if (open != null) {
      unansweredTickets = 0;
      support.recordHeard(sender, now());
      open.heardMillis = now();
    }
    return open;
  }

  /** Processes the message that a request waits at a relay. */
  void onHeld(String sender, TicketHeld message) {
    support.recordHeard(sender, now());
    OpenTicket open = heard(sender, message.getNumber());
    if (open != null) {
      open.held = true;
    }
  }

  /** Processes a refusal. */
  void onRefused(String sender, TicketRefused message) {
    support.recordHeard(sender, now());
    OpenTicket open = heard(sender, message.getNumber());
    if (open != null) {
      openByNumber.remove(open.number);
      open.result.complete(
          new PlacementResult.Refused(message.getRetryAfterMillis(), message.getExpectedMillis()));
    }
  }

  /** Processes the answer that the rate limits or backoffs of engines delay a request. */
  void onDelay(String sender, PlacementDelay message) {
    OpenTicket open = heard(sender, message.getNumber());
    if (open != null) {
      openByNumber.remove(open.number);
      open.result.complete(new PlacementResult.RetryLater(message.getWaitMillis()));
    }
  }

  /** Processes the message that the placement that follows counts in a rate limit. */
  void onGrant(String sender, RateGrant grant) {
    OpenTicket open = find(sender, grant.getNumber());
    if (open != null) {
      open.granted = true;
    }
  }

  /** Processes a placement. */
  void onAnswer(String sender, PlacementAnswer answer) {
    OpenTicket open = heard(sender, answer.getNumber());
    if (open == null) {
      return;
    }
    Placement placement = context.client().placement(sender, open.query, answer, open.granted);
    if (placement == null) {
      onUnusable(open, answer);
    } else {
      openByNumber.remove(open.number);
      if (!open.result.complete(new PlacementResult.Placed(placement))) {
        cancel(open);
      }
    }
  }

  /**
   * Asks once more if this node can't use the chosen engine, such as one that drains; the question
   * then excludes it. After that this node decides at once.
   */
  private void onUnusable(OpenTicket open, PlacementAnswer answer) {
    RelayElection.Relay relay = open.relay;
    cancel(open);
    if (answer.getEngine() != null && relay != null && !open.rejected) {
      open.rejected = true;
      ask(relay, open);
      return;
    }
    openByNumber.remove(open.number);
    open.result.complete(context.client().decide(open.query.withTerms(null)));
  }

  @Override
  public void recordOpened(Placement placement) {
    if (!ownPlacements.recordOpened(placement)) {
      context.client().recordOpened(placement);
    }
  }

  private long now() {
    return context.time().monotonicMillis();
  }
}
