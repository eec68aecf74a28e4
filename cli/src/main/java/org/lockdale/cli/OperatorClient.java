package org.lockdale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpReply;
import org.lockdale.http.HttpRequestMessage;
import org.lockdale.router.operator.OperatorApi;

/** Client of a node's operators' interface. */
final class OperatorClient implements AutoCloseable {

  static final ObjectMapper MAPPER = new ObjectMapper();

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int OK = 200;

  private final OperatorOptions options;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient client = new HttpClient(group);

  OperatorClient(OperatorOptions options) {
    this.options = options;
  }

  JsonNode get(String path) {
    return exchange(HttpRequestMessage.get(path));
  }

  JsonNode post(String path, JsonNode body) {
    try {
      return exchange(
          HttpRequestMessage.json(HttpMethod.POST, path, MAPPER.writeValueAsBytes(body))
              .with("authorization", "Bearer " + options.token));
    } catch (IOException impossible) {
      throw new OperatorException(impossible.toString());
    }
  }

  /**
   * Submits an edit of the configuration.
   *
   * @return the version under which the edit was accepted
   * @throws OperatorException if the node rejects the edit or does not respond
   */
  long edit(long baseVersion, List<JsonNode> resources, List<JsonNode> deletions, boolean dryRun) {
    ObjectNode edit =
        MAPPER
            .createObjectNode()
            .put("baseVersion", baseVersion)
            .put("author", options.author)
            .put("dryRun", dryRun);
    ArrayNode sets = edit.putArray("resources");
    resources.forEach(sets::add);
    ArrayNode deletes = edit.putArray("deletions");
    deletions.forEach(deletes::add);
    return post(OperatorApi.CONFIGURATION, edit).path("version").asLong();
  }

  private JsonNode exchange(HttpRequestMessage request) {
    HttpReply reply;
    try {
      reply = client.exchange(options.node, request, TIMEOUT).join();
    } catch (CompletionException unreachable) {
      throw new OperatorException(
          "The node at "
              + Addresses.format(options.node)
              + " did not respond ("
              + unreachable.getCause().getMessage()
              + "); check that it runs and give its operators' address with --node.");
    }
    try {
      JsonNode body = MAPPER.readTree(reply.body());
      if (reply.status() != OK) {
        throw new OperatorException(body.path("error").path("message").asText(reply.bodyText()));
      }
      return body;
    } catch (IOException malformed) {
      throw new OperatorException(
          "The node responded with status " + reply.status() + " and a body that is not JSON.");
    }
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
