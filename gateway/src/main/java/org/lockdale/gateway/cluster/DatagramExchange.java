package org.lockdale.gateway.cluster;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.usage.TrafficMeter;
import org.lockdale.http.HttpBindException;
import org.lockdale.protocol.Message;
import org.lockdale.protocol.MessageCodec;
import org.lockdale.protocol.generated.AdmissionAnswer;
import org.lockdale.protocol.generated.AdmissionQuestion;
import org.lockdale.protocol.generated.CapacityDatagram;
import org.lockdale.protocol.generated.DrainDatagram;
import org.lockdale.protocol.generated.EngineCapacitySummary;
import org.lockdale.protocol.generated.EngineObservationReport;
import org.lockdale.protocol.generated.LeavingNotice;
import org.lockdale.protocol.generated.LifeOverNotice;
import org.lockdale.protocol.generated.NodeDatagram;
import org.lockdale.protocol.generated.NodeNotice;
import org.lockdale.protocol.generated.NodeReport;
import org.lockdale.protocol.generated.OriginDatagram;
import org.lockdale.protocol.generated.PartDatagram;
import org.lockdale.protocol.generated.PartSuspectReport;
import org.lockdale.protocol.generated.PlacementAnswer;
import org.lockdale.protocol.generated.PlacementDelay;
import org.lockdale.protocol.generated.PlacementQuestion;
import org.lockdale.protocol.generated.PlacementTicket;
import org.lockdale.protocol.generated.RateDatagram;
import org.lockdale.protocol.generated.RateGrant;
import org.lockdale.protocol.generated.RateReport;
import org.lockdale.protocol.generated.RateUseDatagram;
import org.lockdale.protocol.generated.RelayHeartbeat;
import org.lockdale.protocol.generated.SendCountReport;
import org.lockdale.protocol.generated.ShareLoan;
import org.lockdale.protocol.generated.ShareRecall;
import org.lockdale.protocol.generated.ShareReleased;
import org.lockdale.protocol.generated.SilentEnginesNotice;
import org.lockdale.protocol.generated.StreamOriginAnswer;
import org.lockdale.protocol.generated.StreamOriginQuestion;
import org.lockdale.protocol.generated.StreamOriginReport;
import org.lockdale.protocol.generated.SuspectReport;
import org.lockdale.protocol.generated.TicketCancelled;
import org.lockdale.protocol.generated.TicketDatagram;
import org.lockdale.protocol.generated.TicketHeld;
import org.lockdale.protocol.generated.TicketRefused;
import org.tinylog.Logger;

/**
 * Exchanges datagrams with the other nodes of a deployment. Datagrams may be lost, delayed or
 * duplicated, so no guarantee depends on them. Messages may be sent from any thread.
 */
public final class DatagramExchange {

  /**
   * Prefix that distinguishes loans of rates from loans of tenants' limits in the traffic metrics.
   */
  private static final String RATE_KIND_PREFIX = "rates-";

  private final String nodeId;
  private final InetSocketAddress address;
  private final EventLoop eventLoop;
  private final TrafficMeter meter;
  private final MessageCodec<NodeDatagram> codec = MessageCodec.nodeDatagrams();
  private final MessageCodec<NodeNotice> noticeCodec = MessageCodec.nodeNotices();
  private final MessageCodec<RateDatagram> rateCodec = MessageCodec.rateDatagrams();
  private final MessageCodec<RateUseDatagram> rateUseCodec = MessageCodec.rateUseDatagrams();
  private final MessageCodec<DrainDatagram> drainCodec = MessageCodec.drainDatagrams();
  private final MessageCodec<OriginDatagram> originCodec = MessageCodec.originDatagrams();
  private final MessageCodec<CapacityDatagram> capacityCodec = MessageCodec.capacityDatagrams();
  private final MessageCodec<TicketDatagram> ticketCodec = MessageCodec.ticketDatagrams();
  private final MessageCodec<PartDatagram> partCodec = MessageCodec.partDatagrams();
  private @Nullable Channel channel;

  /**
   * Creates an exchange; {@link #start} starts it.
   *
   * @param nodeId id of this node
   * @param address address at which this node receives datagrams
   * @param eventLoop runs the exchange
   * @param meter counts the bytes sent and received
   */
  public DatagramExchange(
      String nodeId, InetSocketAddress address, EventLoop eventLoop, TrafficMeter meter) {
    this.nodeId = nodeId;
    this.address = address;
    this.eventLoop = eventLoop;
    this.meter = meter;
  }

  /**
   * Binds the address and passes received messages to a listener.
   *
   * @throws HttpBindException if the address can't be bound
   */
  public void start(DatagramListener listener) {
    var bound =
        new Bootstrap()
            .group(eventLoop)
            .channel(NioDatagramChannel.class)
            .handler(new Receiver(listener))
            .bind(address)
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new HttpBindException(address, bound.cause());
    }
    channel = bound.channel();
  }

  /** Sends a message to one node. */
  public void send(InetSocketAddress receiver, Message body) {
    send(List.of(receiver), body);
  }

  /** Sends a message to several nodes. */
  public void send(Collection<InetSocketAddress> receivers, Message body) {
    if (!receivers.isEmpty()) {
      sendBytes(receivers, kindOf(body), codec.encode(new NodeDatagram(nodeId, body)));
    }
  }

  /** Sends a notice to several nodes; nodes of an earlier version ignore it. */
  public void sendNotice(Collection<InetSocketAddress> receivers, Message body) {
    if (!receivers.isEmpty()) {
      sendBytes(receivers, kindOf(body), noticeCodec.encode(new NodeNotice(nodeId, body)));
    }
  }

  /** Sends a message about the rates of backends; nodes of an earlier version ignore it. */
  public void sendRateMessage(Collection<InetSocketAddress> receivers, Message body) {
    if (!receivers.isEmpty()) {
      byte[] message =
          body instanceof SendCountReport
              ? rateUseCodec.encode(new RateUseDatagram(nodeId, body))
              : rateCodec.encode(new RateDatagram(nodeId, body));
      sendBytes(receivers, RATE_KIND_PREFIX + kindOf(body), message);
    }
  }

  /** Sends a message about draining backends; nodes of an earlier version ignore it. */
  public void sendDrainMessage(Collection<InetSocketAddress> receivers, Message body) {
    if (!receivers.isEmpty()) {
      sendBytes(receivers, kindOf(body), drainCodec.encode(new DrainDatagram(nodeId, body)));
    }
  }

  /** Sends a message about the origins of streams; nodes of an earlier version ignore it. */
  public void sendOriginMessage(Collection<InetSocketAddress> receivers, Message body) {
    if (!receivers.isEmpty()) {
      sendBytes(receivers, kindOf(body), originCodec.encode(new OriginDatagram(nodeId, body)));
    }
  }

  /** Sends a message about the capacity of engines; nodes of an earlier version ignore it. */
  public void sendCapacityMessage(Collection<InetSocketAddress> receivers, Message body) {
    if (!receivers.isEmpty()) {
      sendBytes(receivers, kindOf(body), capacityCodec.encode(new CapacityDatagram(nodeId, body)));
    }
  }

  /** Sends a message about waiting requests; nodes of an earlier version ignore it. */
  public void sendTicketMessage(Collection<InetSocketAddress> receivers, Message body) {
    if (!receivers.isEmpty()) {
      sendBytes(receivers, kindOf(body), ticketCodec.encode(new TicketDatagram(nodeId, body)));
    }
  }

  /** Sends a message about prompt parts; nodes of an earlier version ignore it. */
  public void sendPartMessage(Collection<InetSocketAddress> receivers, Message body) {
    if (!receivers.isEmpty()) {
      sendBytes(receivers, kindOf(body), partCodec.encode(new PartDatagram(nodeId, body)));
    }
  }

  private static String kindOf(Object body) {
    return body.getClass().getSimpleName();
  }

  private void sendBytes(Collection<InetSocketAddress> receivers, String kind, byte[] message) {
    Channel bound = channel;
    if (bound == null) {
      return;
    }
    meter.sent(kind, (long) receivers.size() * message.length);
    for (InetSocketAddress receiver : receivers) {
      bound.write(
          new DatagramPacket(Unpooled.wrappedBuffer(message), receiver), bound.voidPromise());
    }
    bound.flush();
  }

  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

    private final DatagramListener listener;

    Receiver(DatagramListener listener) {
      this.listener = listener;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      try {
        byte[] message = ByteBufUtil.getBytes(packet.content());
        if (noticeCodec.matchesSchema(message)) {
          NodeNotice notice = noticeCodec.decode(message);
          meter.received(kindOf(notice.getBody()), message.length);
          dispatch(notice);
        } else if (rateCodec.matchesSchema(message)) {
          RateDatagram datagram = rateCodec.decode(message);
          meter.received(RATE_KIND_PREFIX + kindOf(datagram.getBody()), message.length);
          dispatch(datagram, packet.sender());
        } else if (rateUseCodec.matchesSchema(message)) {
          RateUseDatagram datagram = rateUseCodec.decode(message);
          meter.received(RATE_KIND_PREFIX + kindOf(datagram.getBody()), message.length);
          dispatch(datagram);
        } else if (drainCodec.matchesSchema(message)) {
          DrainDatagram datagram = drainCodec.decode(message);
          meter.received(kindOf(datagram.getBody()), message.length);
          dispatch(datagram);
        } else if (originCodec.matchesSchema(message)) {
          OriginDatagram datagram = originCodec.decode(message);
          meter.received(kindOf(datagram.getBody()), message.length);
          dispatch(datagram, packet.sender());
        } else if (capacityCodec.matchesSchema(message)) {
          CapacityDatagram datagram = capacityCodec.decode(message);
          meter.received(kindOf(datagram.getBody()), message.length);
          dispatch(datagram);
        } else if (ticketCodec.matchesSchema(message)) {
          TicketDatagram datagram = ticketCodec.decode(message);
          meter.received(kindOf(datagram.getBody()), message.length);
          dispatch(datagram, packet.sender());
        } else if (partCodec.matchesSchema(message)) {
          PartDatagram datagram = partCodec.decode(message);
          meter.received(kindOf(datagram.getBody()), message.length);
          dispatch(datagram);
        } else {
          NodeDatagram datagram = codec.decode(message);
          meter.received(kindOf(datagram.getBody()), message.length);
          dispatch(datagram, packet.sender());
        }
      } catch (RuntimeException malformed) {
        Logger.debug("event=datagram-rejected sender={}", packet.sender());
      }
    }

    private void dispatch(NodeNotice notice) {
      if (notice.getBody() instanceof LifeOverNotice incarnations) {
        listener.onIncarnationsEnded(incarnations);
      }
    }

    private void dispatch(DrainDatagram datagram) {
      if (datagram.getBody() instanceof LeavingNotice incarnations) {
        listener.onDraining(datagram.getSender(), incarnations);
      }
    }

    private void dispatch(RateUseDatagram datagram) {
      if (datagram.getBody() instanceof SendCountReport report) {
        listener.onSendCounts(datagram.getSender(), report);
      }
    }

    private void dispatch(PartDatagram datagram) {
      if (datagram.getBody() instanceof PartSuspectReport report) {
        listener.onPartReport(report);
      }
    }

    private void dispatch(OriginDatagram datagram, InetSocketAddress from) {
      Object body = datagram.getBody();
      if (body instanceof StreamOriginReport report) {
        listener.onOriginReport(report);
      } else if (body instanceof StreamOriginQuestion question) {
        listener.onOriginQuestion(from, question);
      } else if (body instanceof StreamOriginAnswer answer) {
        listener.onOriginAnswer(answer);
      }
    }

    private void dispatch(CapacityDatagram datagram) {
      Object body = datagram.getBody();
      if (body instanceof EngineObservationReport report) {
        listener.onObservationReport(datagram.getSender(), report);
      } else if (body instanceof EngineCapacitySummary summary) {
        listener.onCapacitySummary(summary);
      } else if (body instanceof SilentEnginesNotice notice) {
        listener.onSilentEngines(datagram.getSender(), notice);
      }
    }

    private void dispatch(TicketDatagram datagram, InetSocketAddress from) {
      String sender = datagram.getSender();
      Object body = datagram.getBody();
      if (body instanceof PlacementTicket ticket) {
        listener.onPlacementTicket(sender, from, ticket);
      } else if (body instanceof TicketHeld held) {
        listener.onTicketHeld(sender, held);
      } else if (body instanceof TicketRefused refused) {
        listener.onTicketRefused(sender, refused);
      } else if (body instanceof TicketCancelled cancelled) {
        listener.onTicketCancelled(sender, cancelled);
      }
    }

    private void dispatch(RateDatagram datagram, InetSocketAddress from) {
      String sender = datagram.getSender();
      Object body = datagram.getBody();
      if (body instanceof RateReport report) {
        listener.onRateReport(sender, report);
      } else if (body instanceof RateGrant grant) {
        listener.onRateGrant(sender, grant);
      } else if (body instanceof PlacementDelay delay) {
        listener.onPlacementDelay(sender, delay);
      } else if (body instanceof ShareLoan loan) {
        listener.onRateLoan(sender, loan);
      } else if (body instanceof ShareRecall recall) {
        listener.onRateRecall(sender, from, recall);
      } else if (body instanceof ShareReleased released) {
        listener.onRateReleased(sender, released);
      }
    }

    private void dispatch(NodeDatagram datagram, InetSocketAddress from) {
      String sender = datagram.getSender();
      Object body = datagram.getBody();
      if (body instanceof RelayHeartbeat heartbeat) {
        listener.onHeartbeat(sender, from, heartbeat);
      } else if (body instanceof NodeReport report) {
        listener.onReport(sender, report);
      } else if (body instanceof PlacementQuestion question) {
        listener.onPlacementQuestion(sender, from, question);
      } else if (body instanceof PlacementAnswer answer) {
        listener.onPlacementAnswer(sender, answer);
      } else if (body instanceof AdmissionQuestion question) {
        listener.onAdmissionQuestion(from, question);
      } else if (body instanceof AdmissionAnswer answer) {
        listener.onAdmissionAnswer(answer);
      } else if (body instanceof ShareLoan loan) {
        listener.onLimitLoan(sender, loan);
      } else if (body instanceof ShareRecall recall) {
        listener.onLimitRecall(sender, from, recall);
      } else if (body instanceof ShareReleased released) {
        listener.onLimitReleased(sender, released);
      } else if (body instanceof SuspectReport suspects) {
        listener.onSuspectReport(suspects);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Logger.debug("event=datagram-failed cause={}", cause.toString());
    }
  }
}
