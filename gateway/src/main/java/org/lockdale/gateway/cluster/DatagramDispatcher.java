package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.quarantine.Suspect;
import org.lockdale.gateway.quarantine.SuspectMessages;
import org.lockdale.gateway.quarantine.part.PartMessages;
import org.lockdale.gateway.quarantine.part.PartSuspect;
import org.lockdale.protocol.generated.AdmissionAnswer;
import org.lockdale.protocol.generated.AdmissionQuestion;
import org.lockdale.protocol.generated.EngineCapacitySummary;
import org.lockdale.protocol.generated.EngineObservationReport;
import org.lockdale.protocol.generated.LeavingNotice;
import org.lockdale.protocol.generated.LifeOverNotice;
import org.lockdale.protocol.generated.NodeReport;
import org.lockdale.protocol.generated.PartSuspectReport;
import org.lockdale.protocol.generated.PlacementAnswer;
import org.lockdale.protocol.generated.PlacementDelay;
import org.lockdale.protocol.generated.PlacementQuestion;
import org.lockdale.protocol.generated.PlacementTicket;
import org.lockdale.protocol.generated.RateGrant;
import org.lockdale.protocol.generated.RateReport;
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
import org.lockdale.protocol.generated.TicketHeld;
import org.lockdale.protocol.generated.TicketRefused;

/**
 * Dispatches received datagrams to the components of a node.
 *
 * @param relays receives heartbeats
 * @param reports receives load reports
 * @param responder answers placement queries
 * @param limits decides on the limits of tenants for other nodes
 * @param limitClient receives heartbeats and the answers to admission queries
 * @param rates keeps requests within the rates of backends
 * @param placements receives the answers to placement queries
 * @param tickets exchanges the tickets of waiting requests, or null if none wait
 * @param origins keeps the origins of streams
 * @param capacities exchanges what is known of the capacity of engines
 * @param onSuspectReport receives requests that are suspected of crashing backends
 * @param onPartReport receives prompt parts that are suspected of crashing backends
 * @param onIncarnationsEnded receives the text forms of backend incarnations that have ended
 * @param onDraining receives the id of the sender and the text forms of backend incarnations that
 *     are draining
 */
public record DatagramDispatcher(
    RelayController relays,
    ReportReceiver reports,
    PlacementResponder responder,
    LimitResponder limits,
    LimitClient limitClient,
    RateExchange rates,
    PlacementClient placements,
    @Nullable TicketExchange tickets,
    OriginExchange origins,
    CapacityExchange capacities,
    Consumer<List<Suspect>> onSuspectReport,
    Consumer<List<PartSuspect>> onPartReport,
    Consumer<List<String>> onIncarnationsEnded,
    BiConsumer<String, List<String>> onDraining)
    implements DatagramListener {

  @Override
  public void onHeartbeat(String sender, InetSocketAddress address, RelayHeartbeat heartbeat) {
    relays.onHeartbeat(sender, address, heartbeat);
    limitClient.onHeartbeat(sender, address, heartbeat);
    rates.onHeartbeat(sender, address, heartbeat);
  }

  @Override
  public void onReport(String sender, NodeReport report) {
    reports.accept(sender, report);
    if (tickets != null) {
      tickets.onReport();
    }
  }

  @Override
  public void onPlacementQuestion(
      String sender, InetSocketAddress address, PlacementQuestion question) {
    responder.answer(sender, address, question);
  }

  @Override
  public void onPlacementAnswer(String sender, PlacementAnswer answer) {
    placements.onAnswer(sender, answer);
    if (tickets != null) {
      tickets.client().onAnswer(sender, answer);
    }
  }

  @Override
  public void onLimitLoan(String sender, ShareLoan loan) {
    limits.borrow(sender, loan);
  }

  @Override
  public void onLimitRecall(String sender, InetSocketAddress address, ShareRecall recall) {
    limits.onRecall(sender, address, recall);
  }

  @Override
  public void onLimitReleased(String sender, ShareReleased released) {
    limitClient.onReleased(sender, released);
  }

  @Override
  public void onAdmissionQuestion(InetSocketAddress address, AdmissionQuestion question) {
    limits.answer(address, question);
  }

  @Override
  public void onAdmissionAnswer(AdmissionAnswer answer) {
    limitClient.onAnswer(answer);
  }

  @Override
  public void onSuspectReport(SuspectReport report) {
    onSuspectReport.accept(report.getSuspects().stream().map(SuspectMessages::read).toList());
  }

  @Override
  public void onPartReport(PartSuspectReport report) {
    onPartReport.accept(report.getParts().stream().map(PartMessages::read).toList());
  }

  @Override
  public void onRateReport(String sender, RateReport report) {
    rates.onReport(sender, report);
  }

  @Override
  public void onSendCounts(String sender, SendCountReport report) {
    rates.onSendCounts(sender, report);
  }

  @Override
  public void onRateGrant(String sender, RateGrant grant) {
    placements.onGrant(sender, grant);
    if (tickets != null) {
      tickets.client().onGrant(sender, grant);
    }
  }

  @Override
  public void onPlacementDelay(String sender, PlacementDelay delay) {
    placements.onDelay(sender, delay);
    if (tickets != null) {
      tickets.client().onDelay(sender, delay);
    }
  }

  @Override
  public void onRateLoan(String sender, ShareLoan loan) {
    rates.borrow(sender, loan);
  }

  @Override
  public void onRateRecall(String sender, InetSocketAddress address, ShareRecall recall) {
    rates.onRecall(sender, address, recall);
  }

  @Override
  public void onRateReleased(String sender, ShareReleased released) {
    rates.onReleased(sender, released);
  }

  @Override
  public void onIncarnationsEnded(LifeOverNotice notice) {
    onIncarnationsEnded.accept(notice.getEngines());
  }

  @Override
  public void onDraining(String sender, LeavingNotice notice) {
    onDraining.accept(sender, notice.getEngines());
  }

  @Override
  public void onOriginReport(StreamOriginReport report) {
    origins.onReport(report);
  }

  @Override
  public void onOriginQuestion(InetSocketAddress address, StreamOriginQuestion question) {
    origins.onQuestion(address, question);
  }

  @Override
  public void onOriginAnswer(StreamOriginAnswer answer) {
    origins.onAnswer(answer);
  }

  @Override
  public void onObservationReport(String sender, EngineObservationReport report) {
    capacities.onReport(sender, report);
  }

  @Override
  public void onCapacitySummary(EngineCapacitySummary summary) {
    capacities.onSummary(summary);
  }

  @Override
  public void onSilentEngines(String sender, SilentEnginesNotice notice) {
    capacities.onSilentEngines(sender, notice);
  }

  @Override
  public void onPlacementTicket(String sender, InetSocketAddress address, PlacementTicket ticket) {
    if (tickets != null) {
      tickets.responder().onTicket(sender, address, ticket);
    }
  }

  @Override
  public void onTicketHeld(String sender, TicketHeld message) {
    if (tickets != null) {
      tickets.client().onHeld(sender, message);
    }
  }

  @Override
  public void onTicketRefused(String sender, TicketRefused message) {
    if (tickets != null) {
      tickets.client().onRefused(sender, message);
    }
  }

  @Override
  public void onTicketCancelled(String sender, TicketCancelled message) {
    if (tickets != null) {
      tickets.responder().onCancelled(sender, message);
    }
  }
}
