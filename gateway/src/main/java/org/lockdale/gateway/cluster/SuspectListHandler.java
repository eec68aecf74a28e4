package org.lockdale.gateway.cluster;

import java.util.List;
import java.util.concurrent.Executor;
import org.lockdale.gateway.quarantine.Quarantine;
import org.lockdale.gateway.quarantine.SuspectMessages;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;
import org.lockdale.protocol.MessageCodec;
import org.lockdale.protocol.generated.NodeDatagram;
import org.lockdale.protocol.generated.SuspectRecord;
import org.lockdale.protocol.generated.SuspectReport;

/** Serves the requests that are suspected of crashing backends to nodes that have just started. */
public final class SuspectListHandler implements HttpHandler {

  /** Path on the address for other nodes. */
  public static final String PATH = "/suspects";

  /**
   * About 8 KB of suspects. Two crashes of a third of a fleet leave some 500 suspects, nearly all
   * of which caused neither.
   */
  private static final int MAX_SUSPECTS = 64;

  private static final int OK = 200;

  private final String nodeId;
  private final Quarantine quarantine;
  private final Executor eventLoop;
  private final MessageCodec<NodeDatagram> codec = MessageCodec.nodeDatagrams();

  /**
   * Creates a handler.
   *
   * @param nodeId id of this node
   * @param quarantine supplies the suspects that this node knows
   * @param eventLoop runs the quarantine
   */
  public SuspectListHandler(String nodeId, Quarantine quarantine, Executor eventLoop) {
    this.nodeId = nodeId;
    this.quarantine = quarantine;
    this.eventLoop = eventLoop;
  }

  @Override
  public void handle(HttpExchange exchange) {
    eventLoop.execute(() -> exchange.reply(createReply()));
  }

  private HttpReply createReply() {
    List<SuspectRecord> known =
        quarantine.heaviest(MAX_SUSPECTS).stream().map(SuspectMessages::write).toList();
    byte[] body = codec.encode(new NodeDatagram(nodeId, new SuspectReport(known)));
    return HttpReply.of(OK, TableSliceHandler.MEDIA_TYPE, body);
  }

  @Override
  public HttpReply renderProtocolError(HttpProtocolError error) {
    return HttpReply.text(error.status(), error.remedy());
  }
}
