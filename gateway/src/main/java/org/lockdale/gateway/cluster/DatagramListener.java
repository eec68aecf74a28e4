package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
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

/** Receives the datagrams of other nodes, on the event loop of their exchange. */
public interface DatagramListener {

  /** Called when a relay sends a heartbeat; the last one announces that it retires. */
  void onHeartbeat(String sender, InetSocketAddress address, RelayHeartbeat heartbeat);

  /** Called when a node reports its load. */
  void onReport(String sender, NodeReport report);

  /** Called when a node queries which backend should serve a request. */
  void onPlacementQuestion(String sender, InetSocketAddress address, PlacementQuestion question);

  /** Called when a relay answers a placement query of this node. */
  void onPlacementAnswer(String sender, PlacementAnswer answer);

  /** Called when a node lends its share of the tenants' limits to this one. */
  void onLimitLoan(String sender, ShareLoan loan);

  /** Called when a node recalls its share of the tenants' limits. */
  void onLimitRecall(String sender, InetSocketAddress address, ShareRecall recall);

  /** Called when a relay returns this node's share of the tenants' limits. */
  void onLimitReleased(String sender, ShareReleased released);

  /** Called when a node queries whether a request is within its tenant's limit. */
  void onAdmissionQuestion(InetSocketAddress address, AdmissionQuestion question);

  /** Called when a relay answers an admission query of this node. */
  void onAdmissionAnswer(AdmissionAnswer answer);

  /** Called when a node reports requests that are suspected of crashing backends. */
  void onSuspectReport(SuspectReport report);

  /** Called for prompt parts that are suspected of crashing backends. */
  void onPartReport(PartSuspectReport report);

  /** Called when a node reports the rates that backends advertise. */
  void onRateReport(String sender, RateReport report);

  /** Called when a node reports its requests to backends that advertise rates. */
  void onSendCounts(String sender, SendCountReport report);

  /** Called when a relay has counted a placement against the rate of its backend. */
  void onRateGrant(String sender, RateGrant grant);

  /**
   * Called when a relay answers a placement query of this node with a delay, since no backend that
   * could serve the request accepts more at present.
   */
  void onPlacementDelay(String sender, PlacementDelay delay);

  /** Called when a node lends its share of the backends' rates to this one. */
  void onRateLoan(String sender, ShareLoan loan);

  /** Called when a node recalls its share of the backends' rates. */
  void onRateRecall(String sender, InetSocketAddress address, ShareRecall recall);

  /** Called when a relay returns this node's share of the backends' rates. */
  void onRateReleased(String sender, ShareReleased released);

  /** Called when a node reports that incarnations of backends have ended. */
  void onIncarnationsEnded(LifeOverNotice notice);

  /** Called when a node reports that incarnations of backends are draining. */
  void onDraining(String sender, LeavingNotice notice);

  /** Called when a node gives origins of streams into the keeping of this one. */
  void onOriginReport(StreamOriginReport report);

  /** Called when a node asks where a stream began. */
  void onOriginQuestion(InetSocketAddress address, StreamOriginQuestion question);

  /** Called when a node answers where a stream began. */
  void onOriginAnswer(StreamOriginAnswer answer);

  /** Called when a node reports what it observes of engines. */
  void onObservationReport(String sender, EngineObservationReport report);

  /** Called when a relay tells its estimates of engines. */
  void onCapacitySummary(EngineCapacitySummary summary);

  /** Called when a relay tells which engines have stopped responding. */
  void onSilentEngines(String sender, SilentEnginesNotice notice);

  /** Called when a node asks for the placement of a request that may wait. */
  void onPlacementTicket(String sender, InetSocketAddress address, PlacementTicket ticket);

  /** Called when a relay tells that a request of this node waits. */
  void onTicketHeld(String sender, TicketHeld message);

  /** Called when a relay refuses a request of this node. */
  void onTicketRefused(String sender, TicketRefused message);

  /** Called when a node withdraws requests that wait here. */
  void onTicketCancelled(String sender, TicketCancelled message);
}
