package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import org.lockdale.protocol.generated.NodeReport;
import org.lockdale.protocol.generated.PlacementAnswer;
import org.lockdale.protocol.generated.PlacementQuestion;
import org.lockdale.protocol.generated.RelayHeartbeat;

/** Receives the datagrams of other nodes, on the event loop of their exchange. */
public interface DatagramListener {

  /** A relay serves, or ceases to. */
  void onHeartbeat(String sender, InetSocketAddress address, RelayHeartbeat heartbeat);

  /** A node tells of its work. */
  void onReport(String sender, NodeReport report);

  /** A node asks where a request is best served. */
  void onQuestion(String sender, InetSocketAddress address, PlacementQuestion question);

  /** A relay answers a question of this node. */
  void onAnswer(String sender, PlacementAnswer answer);
}
