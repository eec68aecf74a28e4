package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import org.lockdale.protocol.generated.NodeReport;
import org.lockdale.protocol.generated.PlacementAnswer;
import org.lockdale.protocol.generated.PlacementQuestion;
import org.lockdale.protocol.generated.RelayHeartbeat;

/**
 * Passes datagrams on to the parts of a node that they are for.
 *
 * @param relays takes heartbeats
 * @param reports takes reports
 * @param responder answers questions
 * @param onAnswer takes answers, with the relay that sent them
 */
public record NodeListener(
    RelayController relays,
    ReportReceiver reports,
    PlacementResponder responder,
    BiConsumer<String, PlacementAnswer> onAnswer)
    implements DatagramListener {

  @Override
  public void onHeartbeat(String sender, InetSocketAddress address, RelayHeartbeat heartbeat) {
    relays.heard(sender, address, heartbeat);
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
}
