package org.lockdale.gateway.cluster;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import org.lockdale.gateway.table.TableFollower;
import org.lockdale.gateway.usage.TrafficMeter;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;
import org.lockdale.protocol.MessageCodec;
import org.lockdale.protocol.MessageFormatException;
import org.lockdale.protocol.generated.TableSlice;
import org.lockdale.protocol.generated.TableSliceRequest;

/** Serves the changes in this node's copies of tables to other nodes. */
public final class TableSliceHandler implements HttpHandler {

  /**
   * Path that nodes of an earlier version request; changes are sent whatever their size, also if
   * they are the complete copy.
   */
  static final String PATH = "/tables/changes";

  /**
   * Path for nodes that can read the store instead: if the changes are too many, the status is
   * {@link #GONE}.
   */
  static final String STORE_FALLBACK_PATH = "/tables/lacking";

  static final String MEDIA_TYPE = "avro/binary";

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;

  /**
   * Status for a request whose changes are too many to send, such as all rows of a large table
   * whose older changes are no longer known here.
   */
  static final int GONE = 410;

  private final EventLoop eventLoop;
  private final List<TableFollower> followers;
  private final TrafficMeter meter;
  private final MessageCodec<TableSliceRequest> requests = MessageCodec.tableSliceRequests();
  private final MessageCodec<TableSlice> slices = MessageCodec.tableSlices();

  /**
   * Creates a handler.
   *
   * @param eventLoop event loop of the followers
   * @param followers copies of tables
   * @param meter counts the bytes sent, by table
   */
  public TableSliceHandler(EventLoop eventLoop, List<TableFollower> followers, TrafficMeter meter) {
    this.eventLoop = eventLoop;
    this.followers = followers;
    this.meter = meter;
  }

  @Override
  public void handle(HttpExchange exchange) {
    eventLoop.execute(() -> exchange.reply(createReply(exchange)));
  }

  private HttpReply createReply(HttpExchange exchange) {
    TableSliceRequest request;
    try {
      request = requests.decode(exchange.body());
    } catch (MessageFormatException malformed) {
      return HttpReply.text(BAD_REQUEST, "Malformed request: " + malformed.getMessage());
    }
    Optional<TableFollower> follower =
        followers.stream()
            .filter(
                candidate -> candidate.table().equals(request.getTable()) && candidate.isKnown())
            .findFirst();
    if (follower.isEmpty()) {
      return HttpReply.text(NOT_FOUND, "This node has no copy of the table; ask another node.");
    }
    boolean canReadStore = exchange.path().equals(STORE_FALLBACK_PATH);
    if (canReadStore && follower.get().exceedsTransferLimitAfter(request.getAfterChange())) {
      return HttpReply.text(GONE, "The changes are too many to send; read them from the store.");
    }
    byte[] slice =
        slices.encode(TableSliceMessages.slice(follower.get().respond(request.getAfterChange())));
    meter.sent("slice-" + request.getTable(), slice.length);
    return HttpReply.of(OK, MEDIA_TYPE, slice);
  }

  @Override
  public HttpReply renderProtocolError(HttpProtocolError error) {
    return HttpReply.text(error.status(), error.remedy());
  }
}
