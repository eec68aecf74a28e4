package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import org.lockdale.protocol.generated.AdmissionAnswer;
import org.lockdale.protocol.generated.AdmissionQuestion;
import org.lockdale.protocol.generated.NodeReport;
import org.lockdale.protocol.generated.PlacementAnswer;
import org.lockdale.protocol.generated.PlacementQuestion;
import org.lockdale.protocol.generated.RelayHeartbeat;
import org.lockdale.protocol.generated.ShareLoan;
import org.lockdale.protocol.generated.ShareRecall;
import org.lockdale.protocol.generated.ShareReleased;

/**
 * Passes datagrams on to the parts of a node that they are for.
 *
 * @param relays takes heartbeats
 * @param reports takes reports
 * @param responder answers questions
 * @param onAnswer takes answers, with the relay that sent them
 * @param limits decides on limits of tenants for other nodes
 * @param limitClient asks others to decide
 */
public record NodeListener(
    RelayController relays,
    ReportReceiver reports,
    PlacementResponder responder,
    BiConsumer<String, PlacementAnswer> onAnswer,
    LimitResponder limits,
    LimitClient limitClient)
    implements DatagramListener {

  @Override
  public void onHeartbeat(String sender, InetSocketAddress address, RelayHeartbeat heartbeat) {
    relays.heard(sender, address, heartbeat);
    limitClient.heard(sender, address, heartbeat);
  }

  @Override
  public void onReport(String sender, NodeReport report) {
    reports.accept(sender, report);
  }

  @Override
  public void onQuestion(String sender, InetSocketAddress address, PlacementQuestion question) {
    responder.answer(sender, address, question);
  }

  @Override
  public void onAnswer(String sender, PlacementAnswer answer) {
    onAnswer.accept(sender, answer);
  }

  @Override
  public void onLoan(String sender, ShareLoan loan) {
    limits.borrow(sender, loan);
  }

  @Override
  public void onRecall(String sender, InetSocketAddress address, ShareRecall recall) {
    limits.release(sender, address, recall);
  }

  @Override
  public void onReleased(String sender, ShareReleased released) {
    limitClient.released(sender, released);
  }

  @Override
  public void onAdmissionQuestion(InetSocketAddress address, AdmissionQuestion question) {
    limits.answer(address, question);
  }

  @Override
  public void onAdmissionAnswer(AdmissionAnswer answer) {
    limitClient.answered(answer);
  }
}
