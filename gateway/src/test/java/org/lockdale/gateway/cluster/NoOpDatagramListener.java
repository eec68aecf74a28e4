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

/** Ignores all datagrams; tests override the methods that they need. */
class NoOpDatagramListener implements DatagramListener {

  @Override
  public void onHeartbeat(String sender, InetSocketAddress address, RelayHeartbeat heartbeat) {}

  @Override
  public void onReport(String sender, NodeReport report) {}

  @Override
  public void onPlacementQuestion(
      String sender, InetSocketAddress address, PlacementQuestion question) {}

  @Override
  public void onPlacementAnswer(String sender, PlacementAnswer answer) {}

  @Override
  public void onLimitLoan(String sender, ShareLoan loan) {}

  @Override
  public void onLimitRecall(String sender, InetSocketAddress address, ShareRecall recall) {}

  @Override
  public void onLimitReleased(String sender, ShareReleased released) {}

  @Override
  public void onAdmissionQuestion(InetSocketAddress address, AdmissionQuestion question) {}

  @Override
  public void onAdmissionAnswer(AdmissionAnswer answer) {}

  @Override
  public void onPartReport(PartSuspectReport report) {}

  @Override
  public void onSuspectReport(SuspectReport report) {}

  @Override
  public void onRateReport(String sender, RateReport report) {}

  @Override
  public void onSendCounts(String sender, SendCountReport report) {}

  @Override
  public void onRateGrant(String sender, RateGrant grant) {}

  @Override
  public void onPlacementDelay(String sender, PlacementDelay delay) {}

  @Override
  public void onRateLoan(String sender, ShareLoan loan) {}

  @Override
  public void onRateRecall(String sender, InetSocketAddress address, ShareRecall recall) {}

  @Override
  public void onRateReleased(String sender, ShareReleased released) {}

  @Override
  public void onIncarnationsEnded(LifeOverNotice notice) {}

  @Override
  public void onDraining(String sender, LeavingNotice notice) {}

  @Override
  public void onOriginReport(StreamOriginReport report) {}

  @Override
  public void onOriginQuestion(InetSocketAddress address, StreamOriginQuestion question) {}

  @Override
  public void onOriginAnswer(StreamOriginAnswer answer) {}

  @Override
  public void onObservationReport(String sender, EngineObservationReport report) {}

  @Override
  public void onCapacitySummary(EngineCapacitySummary summary) {}

  @Override
  public void onSilentEngines(String sender, SilentEnginesNotice notice) {}

  @Override
  public void onPlacementTicket(String sender, InetSocketAddress address, PlacementTicket ticket) {}

  @Override
  public void onTicketHeld(String sender, TicketHeld message) {}

  @Override
  public void onTicketRefused(String sender, TicketRefused message) {}

  @Override
  public void onTicketCancelled(String sender, TicketCancelled message) {}
}
