package org.lockdale.router.platform;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpReply;
import org.lockdale.http.HttpRequestMessage;

/** Reads the platform's machine list, or a peer's copy of it, which has the same form. */
public final class MachineListClient {

  /** Path of the list at the platform. */
  public static final String PLATFORM_PATH = "/machines";

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int OK = 200;

  private final HttpClient client;
  private final Duration timeout;

  /** Creates a client. */
  public MachineListClient(HttpClient client, Duration timeout) {
    this.client = client;
    this.timeout = timeout;
  }

  /** Reads the list at an address; the future fails where there is no answer. */
  public CompletableFuture<List<Machine>> read(InetSocketAddress address, String path) {
    return client
        .exchange(address, HttpRequestMessage.get(path), timeout)
        .thenApply(MachineListClient::parse);
  }

  private static List<Machine> parse(HttpReply reply) {
    if (reply.status() != OK) {
      throw new IllegalStateException("the machine list answered " + reply.status());
    }
    try {
      return MAPPER.readValue(reply.body(), new TypeReference<List<Machine>>() {});
    } catch (IOException malformed) {
      throw new UncheckedIOException(malformed);
    }
  }
}
