package org.lockdale.gateway.cluster;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.lockdale.gateway.usage.TrafficMeter;
import org.lockdale.http.LoopbackPorts;
import org.lockdale.protocol.generated.PlacementAnswer;
import org.lockdale.protocol.generated.PlacementQuestion;
import org.lockdale.protocol.generated.PlacementTicket;
import org.lockdale.protocol.generated.TicketCancelled;
import org.lockdale.protocol.generated.TicketHeld;
import org.lockdale.protocol.generated.TicketRefused;

/** A relay that does one thing with all tickets. */
final class FakeTicketRelay extends NoOpDatagramListener {

  /** What the relay does with a ticket. */
  enum Behaviour {
    PLACES,
    HOLDS,
    HOLDS_ONCE,
    REFUSES,
    EARLIER_BUILD
  }

  final List<PlacementTicket> tickets = new CopyOnWriteArrayList<>();
  final List<Long> cancelled = new CopyOnWriteArrayList<>();
  private final InetSocketAddress address = LoopbackPorts.free();
  private final String id;
  private final Behaviour behaviour;
  private final EventLoop loop;
  private final DatagramExchange exchange;

  FakeTicketRelay(String id, Behaviour behaviour, EventLoop loop) throws IOException {
    this.id = id;
    this.behaviour = behaviour;
    this.loop = loop;
    exchange = new DatagramExchange(id, address, loop, new TrafficMeter());
    exchange.start(this);
  }

  RelayElection.Relay relay() {
    return new RelayElection.Relay(id, address, 0);
  }

  @Override
  public void onPlacementTicket(String sender, InetSocketAddress from, PlacementTicket ticket) {
    if (behaviour == Behaviour.EARLIER_BUILD) {
      return;
    }
    tickets.add(ticket);
    long number = ticket.getQuestion().getNumber();
    if (behaviour == Behaviour.PLACES) {
      exchange.send(from, new PlacementAnswer(number, 7L, "i-1", 1L, 0L, null, null, 0L));
    } else if (behaviour == Behaviour.REFUSES) {
      exchange.sendTicketMessage(List.of(from), new TicketRefused(number, 300L, 9_000L));
    } else {
      hold(from, number);
    }
  }

  private void hold(InetSocketAddress from, long number) {
    exchange.sendTicketMessage(List.of(from), new TicketHeld(number, 0, 100L));
    if (behaviour == Behaviour.HOLDS && !cancelled.contains(number)) {
      loop.schedule(() -> hold(from, number), 100, TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public void onPlacementQuestion(
      String sender, InetSocketAddress from, PlacementQuestion question) {
    exchange.send(
        from, new PlacementAnswer(question.getNumber(), 8L, "i-2", 1L, 0L, null, null, 0L));
  }

  @Override
  public void onTicketCancelled(String sender, TicketCancelled message) {
    cancelled.addAll(message.getNumbers());
  }
}
