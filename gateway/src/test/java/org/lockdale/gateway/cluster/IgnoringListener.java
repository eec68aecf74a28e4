package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import org.lockdale.protocol.generated.NodeReport;
import org.lockdale.protocol.generated.PlacementAnswer;
import org.lockdale.protocol.generated.PlacementQuestion;
import org.lockdale.protocol.generated.RelayHeartbeat;

/** Ignores all datagrams; tests override what they look at. */
class IgnoringListener implements DatagramListener {

  @Override
  public void onHeartbeat(String sender, InetSocketAddress address, RelayHeartbeat heartbeat) {}

  @Override
  public void onReport(String sender, NodeReport report) {}

  @Override
  public void onQuestion(String sender, InetSocketAddress address, PlacementQuestion question) {}

  @Override
  public void onAnswer(String sender, PlacementAnswer answer) {}
}
