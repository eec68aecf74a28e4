package org.lockdale.router.platform;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpReply;
import org.lockdale.http.HttpRequestMessage;

/** Reads the platform's machine list or a peer's copy of it, which has the same format. */
public final class MachineListClient {

  /** Path of the list at the platform. */
  public static final String PLATFORM_PATH = "/machines";

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int OK = 200;
  private static final int NOT_MODIFIED = 304;

  private final HttpClient client;
  private final Duration timeout;
  private final Map<InetSocketAddress, String> entityTags = new ConcurrentHashMap<>();

  /** Creates a client with a timeout for each call. */
  public MachineListClient(HttpClient client, Duration timeout) {
    this.client = client;
    this.timeout = timeout;
  }

  /**
   * Reads the list at an address unless it is unchanged since this client last read it there (RFC
   * 9110, section 13.1.2).
   *
   * @return the list, or empty if it is unchanged; fails if there is no valid response
   */
  public CompletableFuture<Optional<List<Machine>>> readIfChanged(
      InetSocketAddress address, String path) {
    HttpRequestMessage request = HttpRequestMessage.get(path);
    String lastTag = entityTags.get(address);
    if (lastTag != null) {
      request.with("if-none-match", lastTag);
    }
    return client
        .exchange(address, request, timeout)
        .thenApply(
            reply -> {
              if (reply.status() == NOT_MODIFIED) {
                return Optional.empty();
              }
              List<Machine> list = parse(reply);
              String tag = reply.headers().get("etag");
              if (tag != null) {
                entityTags.put(address, tag);
              }
              return Optional.of(list);
            });
  }

  private static List<Machine> parse(HttpReply reply) {
    if (reply.status() != OK) {
      throw new IllegalStateException("the machine list request returned status " + reply.status());
    }
    try {
      return MAPPER.readValue(reply.body(), new TypeReference<List<Machine>>() {});
    } catch (IOException malformed) {
      throw new UncheckedIOException(malformed);
    }
  }
}
