package org.lockdale.emulator.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import net.openhft.hashing.LongHashFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.lockdale.coordination.table.InMemoryTables;
import org.lockdale.coordination.table.TableRow;
import org.lockdale.coordination.time.SystemTime;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;
import org.lockdale.http.HttpServer;
import org.lockdale.http.HttpServerSettings;

/**
 * Emulates the platform over HTTP: rows under {@code /tables/TABLE/KEY} with entity tags and
 * conditional requests (RFC 9110, section 13), machines under {@code /machines}, faults under
 * {@code /faults}.
 */
public final class PlatformServer implements Closeable, HttpHandler {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String TABLES = "/tables/";
  private static final String MACHINES = "/machines";
  private static final int PER_MILLE = 1_000;

  private final InMemoryTables tables = new InMemoryTables();
  private final MachineList machines = new MachineList(SystemTime.instance());
  private final UniformRandomProvider random;
  private final RateLimiter rateLimiter = new RateLimiter(SystemTime.instance());
  private volatile PlatformFaults faults = PlatformFaults.NONE;
  private HttpServer server;

  private PlatformServer(long seed) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /**
   * Starts an emulated platform.
   *
   * @param address address to listen on
   * @param group event loops
   * @param seed seed of the choice of lost responses
   */
  public static PlatformServer start(InetSocketAddress address, EventLoopGroup group, long seed) {
    PlatformServer platform = new PlatformServer(seed);
    platform.server = HttpServer.start(HttpServerSettings.forAddress(address), group, platform);
    return platform;
  }

  /** Returns the bound address. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** Returns the tables, for inspection by tests. */
  public InMemoryTables tables() {
    return tables;
  }

  /** Returns the machine list. */
  public MachineList machines() {
    return machines;
  }

  /** Replaces the injected faults. */
  public void setFaults(PlatformFaults newFaults) {
    faults = newFaults;
  }

  @Override
  public void handle(HttpExchange exchange) {
    PlatformFaults current = faults;
    if (current.delayMillis() > 0) {
      exchange
          .eventLoop()
          .schedule(() -> serve(exchange, current), current.delayMillis(), TimeUnit.MILLISECONDS);
    } else {
      serve(exchange, current);
    }
  }

  private void serve(HttpExchange exchange, PlatformFaults current) {
    String path = exchange.path();
    if (path.equals("/faults")) {
      switchFaults(exchange);
      return;
    }
    if (current.outage()) {
      exchange.reply(HttpReply.text(503, "The platform is down.").with("retry-after", "5"));
      return;
    }
    if (!rateLimiter.tryAcquire(current.requestsPerSecond())) {
      exchange.reply(HttpReply.text(429, "Too many requests.").with("retry-after", "1"));
      return;
    }
    if (path.startsWith(TABLES)) {
      serveTable(exchange, path.substring(TABLES.length()), current);
    } else if (path.startsWith(MACHINES)) {
      serveMachines(exchange, path.substring(MACHINES.length()), current);
    } else {
      exchange.reply(HttpReply.text(404, "The path " + path + " does not exist."));
    }
  }

  private void switchFaults(HttpExchange exchange) {
    try {
      faults = MAPPER.readValue(exchange.body(), PlatformFaults.class);
      exchange.reply(HttpReply.empty(204));
    } catch (IOException malformed) {
      exchange.reply(HttpReply.text(400, malformed.getMessage()));
    }
  }

  private void serveTable(HttpExchange exchange, String rest, PlatformFaults current) {
    int slash = rest.indexOf('/');
    if (slash < 0) {
      exchange.reply(HttpReply.text(404, "The path must name a table and a key."));
      return;
    }
    String table = rest.substring(0, slash);
    String key = rest.substring(slash + 1);
    if (exchange.method().equals("GET")) {
      exchange.reply(
          tables.read(table, key).map(PlatformServer::found).orElse(HttpReply.empty(404)));
      return;
    }
    Optional<TableRow> written = write(exchange, table, key);
    if (written.isPresent() && replyIsLost(current)) {
      exchange.abort();
      return;
    }
    exchange.reply(
        written
            .map(row -> HttpReply.empty(204).with("etag", quote(row.version())))
            .orElse(HttpReply.empty(412)));
  }

  private synchronized boolean replyIsLost(PlatformFaults current) {
    return random.nextInt(PER_MILLE) < current.lostReplyPerMille();
  }

  private Optional<TableRow> write(HttpExchange exchange, String table, String key) {
    String expected = exchange.header("if-match");
    if (expected == null) {
      return tables.create(table, key, exchange.body());
    }
    long version = Long.parseLong(expected.replace("\"", ""));
    return tables.replace(table, key, exchange.body(), version);
  }

  private static HttpReply found(TableRow row) {
    return HttpReply.of(200, "application/octet-stream", row.value())
        .with("etag", quote(row.version()));
  }

  private static String quote(long version) {
    return '"' + Long.toString(version) + '"';
  }

  private void serveMachines(HttpExchange exchange, String rest, PlatformFaults current) {
    try {
      switch (exchange.method()) {
        case "GET" -> exchange.reply(machineList(exchange, current));
        case "PUT" -> {
          machines.put(MAPPER.readValue(exchange.body(), MachineEntry.class));
          exchange.reply(HttpReply.empty(204));
        }
        case "DELETE" -> {
          machines.remove(rest.substring(1));
          exchange.reply(HttpReply.empty(204));
        }
        default -> exchange.reply(HttpReply.text(405, "Use GET, PUT or DELETE."));
      }
    } catch (JsonProcessingException malformed) {
      exchange.reply(HttpReply.text(400, malformed.getMessage()));
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }

  private HttpReply machineList(HttpExchange exchange, PlatformFaults current)
      throws JsonProcessingException {
    byte[] body = MAPPER.writeValueAsBytes(machines.asOf(current.machineListLagMillis()));
    String tag = '"' + Long.toHexString(LongHashFunction.xx3().hashBytes(body)) + '"';
    boolean unchanged = tag.equals(exchange.header("if-none-match"));
    HttpReply reply = unchanged ? HttpReply.empty(304) : HttpReply.json(200, body);
    return reply.with("etag", tag);
  }

  @Override
  public HttpReply renderProtocolError(HttpProtocolError error) {
    return HttpReply.text(error.status(), error.remedy());
  }

  @Override
  public void close() {
    server.close();
  }
}
