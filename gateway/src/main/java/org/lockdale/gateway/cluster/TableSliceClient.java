package org.lockdale.gateway.cluster;

import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.lockdale.gateway.table.TablePeers;
import org.lockdale.gateway.table.TransferTooLargeException;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpReply;
import org.lockdale.http.HttpRequestMessage;
import org.lockdale.protocol.MessageCodec;
import org.lockdale.protocol.generated.TableSlice;
import org.lockdale.protocol.generated.TableSliceRequest;

/** Reads changes from the table copies of other nodes, over HTTP with Avro bodies. */
public final class TableSliceClient implements TablePeers {

  private static final Duration TIMEOUT = Duration.ofMillis(600);
  private static final int OK = 200;

  private final HttpClient client;
  private final MessageCodec<TableSliceRequest> requests = MessageCodec.tableSliceRequests();
  private final MessageCodec<TableSlice> slices = MessageCodec.tableSlices();

  /** Creates a client. */
  public TableSliceClient(HttpClient client) {
    this.client = client;
  }

  @Override
  public CompletableFuture<Response> changes(
      InetSocketAddress peer, String table, long afterChange) {
    byte[] body = requests.encode(new TableSliceRequest(table, afterChange));
    HttpRequestMessage message =
        HttpRequestMessage.json(HttpMethod.POST, TableSliceHandler.STORE_FALLBACK_PATH, body)
            .with("content-type", TableSliceHandler.MEDIA_TYPE);
    return client.exchange(peer, message, TIMEOUT).thenApply(reply -> read(table, reply));
  }

  private Response read(String table, HttpReply reply) {
    if (reply.status() == TableSliceHandler.GONE) {
      throw new TransferTooLargeException(table);
    }
    if (reply.status() != OK) {
      throw new IllegalStateException("unexpected response status " + reply.status());
    }
    return TableSliceMessages.response(slices.decode(reply.body()));
  }
}
