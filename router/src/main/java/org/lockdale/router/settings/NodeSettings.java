package org.lockdale.router.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.lockdale.settings.Setting;
import org.lockdale.settings.SettingsException;
import org.lockdale.settings.SettingsLoader;
import org.lockdale.settings.SettingsReference;
import org.lockdale.settings.ValueParsers;

/** The settings of a node: their declarations and validated values. */
public final class NodeSettings {

  private static final Duration MILLISECOND = Duration.ofMillis(1);
  private static final Duration TEN_MILLIS = Duration.ofMillis(10);
  private static final Duration HOUR = Duration.ofHours(1);
  private static final Duration MINUTE = Duration.ofMinutes(1);
  private static final int MAX_PORT = 65_535;
  private static final int KIB = 1_024;
  private static final int MIB = 1_024 * 1_024;

  /** Id of the node. */
  public static final Setting<String> NODE_ID =
      declare(
          "node.id",
          "name",
          "",
          "lower-case letters, digits, dots, hyphens",
          "Id of this node, unique among all nodes. A restarted node may keep its id.",
          ValueParsers.name());

  /** Zone of the node. */
  public static final Setting<String> NODE_ZONE =
      declare(
          "node.zone",
          "name",
          "",
          "lower-case letters, digits, dots, hyphens",
          "Zone this node stands in, as named in the configuration.",
          ValueParsers.name());

  /** Address on which all ports are bound. */
  public static final Setting<InetAddress> BIND_ADDRESS =
      declare(
          "node.bind-address",
          "IP address",
          "127.0.0.1",
          "an address of this machine",
          "Address on which all ports are bound and which other nodes are told.",
          ValueParsers::ipAddress);

  /** Number of threads that serve connections. */
  public static final Setting<Integer> THREADS =
      declare(
          "node.threads",
          "integer",
          "4",
          "1 to 256",
          "Event loops that serve callers and engines.",
          ValueParsers.integer(1, 256));

  /** Port for callers. */
  public static final Setting<Integer> CALLERS_PORT =
      declare(
          "callers.port",
          "port",
          "8080",
          "0 to 65535",
          "Port of the OpenAI-compatible interface; 0 takes a free one.",
          ValueParsers.integer(0, MAX_PORT));

  /** Port for operators. */
  public static final Setting<Integer> OPERATORS_PORT =
      declare(
          "operators.port",
          "port",
          "9080",
          "0 to 65535",
          "Port of health, metrics, status and configuration; 0 takes a free one.",
          ValueParsers.integer(0, MAX_PORT));

  /** Bearer token of operators. */
  public static final Setting<String> OPERATORS_TOKEN =
      secret(
          "operators.token",
          "none",
          "'none', or 16 characters or more",
          "Bearer token that edits of the configuration must carry; 'none' asks for no token.");

  /** Port for other nodes. */
  public static final Setting<Integer> PEERS_PORT =
      declare(
          "peers.port",
          "port",
          "7080",
          "0 to 65535",
          "Port of node-to-node messages, UDP and TCP; 0 takes a free one.",
          ValueParsers.integer(0, MAX_PORT));

  /** Addresses of nodes to contact first. */
  public static final Setting<List<InetSocketAddress>> PEERS_SEEDS =
      declare(
          "peers.seeds",
          "list of IP:port",
          "none",
          "'none', or any number separated by commas",
          "Peer addresses to contact while no other node is known; its own may be among them.",
          ValueParsers::addresses);

  /** Key that authenticates node-to-node messages. */
  public static final Setting<String> PEERS_SHARED_KEY =
      secret(
          "peers.shared-key",
          "",
          "16 characters or more",
          "Key that authenticates node-to-node messages; the same at all nodes.");

  /** Address of the platform. */
  public static final Setting<InetSocketAddress> PLATFORM_ADDRESS =
      declare(
          "platform.address",
          "IP:port",
          "",
          "one address",
          "Address of the platform's table service and machine list.",
          ValueParsers::address);

  /** Timeout of calls to the platform. */
  public static final Setting<Duration> PLATFORM_TIMEOUT =
      declare(
          "platform.timeout",
          "duration",
          "500ms",
          "10ms to 1m",
          "Longest wait for one answer of the platform.",
          ValueParsers.duration(TEN_MILLIS, MINUTE));

  /** Interval between polls of the platform. */
  public static final Setting<Duration> PLATFORM_POLL_INTERVAL =
      declare(
          "platform.poll-interval",
          "duration",
          "1s",
          "100ms to 1m",
          "Time between two reads of the machine list, and of the configuration by its poller.",
          ValueParsers.duration(Duration.ofMillis(100), MINUTE));

  /** Maximum size of a request body. */
  public static final Setting<Integer> REQUEST_MAX_BODY_BYTES =
      declare(
          "request.max-body-bytes",
          "bytes",
          "4194304",
          "1024 to 67108864",
          "Largest request body; longer ones are answered with 413.",
          ValueParsers.integer(KIB, 64 * MIB));

  /** Maximum total size of request headers. */
  public static final Setting<Integer> REQUEST_MAX_HEADER_BYTES =
      declare(
          "request.max-header-bytes",
          "bytes",
          "16384",
          "1024 to 1048576",
          "Largest total of request headers; longer ones are answered with 431.",
          ValueParsers.integer(KIB, MIB));

  /** Timeout for a request to arrive completely. */
  public static final Setting<Duration> REQUEST_BODY_TIMEOUT =
      declare(
          "request.body-timeout",
          "duration",
          "10s",
          "100ms to 1h",
          "Longest time from the first byte of a request to its last; then 408.",
          ValueParsers.duration(Duration.ofMillis(100), HOUR));

  /** Default deadline of requests. */
  public static final Setting<Duration> REQUEST_DEFAULT_DEADLINE =
      declare(
          "request.default-deadline",
          "duration",
          "2m",
          "100ms to 1h",
          "Time for a whole answer where neither the request nor its priority sets one.",
          ValueParsers.duration(Duration.ofMillis(100), HOUR));

  /** Maximum number of caller connections. */
  public static final Setting<Integer> REQUEST_MAX_CONNECTIONS =
      declare(
          "request.max-connections",
          "integer",
          "16384",
          "1 to 1000000",
          "Most connections of callers at once; further ones are closed.",
          ValueParsers.integer(1, 1_000_000));

  /** Interval between load reports of engines in the same zone. */
  public static final Setting<Duration> ENGINE_REPORT_INTERVAL =
      declare(
          "engine.report-interval",
          "duration",
          "250ms",
          "10ms to 1m",
          "Time between two reads of the load of an engine in this node's zone.",
          ValueParsers.duration(TEN_MILLIS, MINUTE));

  /** Interval between load reports of engines in other zones. */
  public static final Setting<Duration> ENGINE_REMOTE_REPORT_INTERVAL =
      declare(
          "engine.remote-report-interval",
          "duration",
          "1s",
          "10ms to 1m",
          "Time between two reads of the load of an engine in another zone.",
          ValueParsers.duration(TEN_MILLIS, MINUTE));

  /** Timeout between two tokens of a stream. */
  public static final Setting<Duration> ENGINE_TOKEN_TIMEOUT =
      declare(
          "engine.token-timeout",
          "duration",
          "10s",
          "10ms to 1h",
          "Longest silence of an engine between two tokens of a stream.",
          ValueParsers.duration(TEN_MILLIS, HOUR));

  /** Maximum number of retries of a request. */
  public static final Setting<Integer> ENGINE_MAX_RETRIES =
      declare(
          "engine.max-retries",
          "integer",
          "3",
          "0 to 20",
          "Most further attempts at other engines after one that can be repeated.",
          ValueParsers.integer(0, 20));

  /** Maximum length of the request queue. */
  public static final Setting<Integer> QUEUE_MAX_LENGTH =
      declare(
          "queue.max-length",
          "integer",
          "2048",
          "0 to 1000000",
          "Most requests that wait at this node for room at an engine.",
          ValueParsers.integer(0, 1_000_000));

  /** Maximum number of prefixes in the prefix index. */
  public static final Setting<Integer> PREFIX_INDEX_CAPACITY =
      declare(
          "prefix.index-capacity",
          "integer",
          "131072",
          "1024 to 10000000",
          "Prefixes whose holders this node remembers.",
          ValueParsers.integer(KIB, 10_000_000));

  /** Lifetime of an entry of the prefix index that is not confirmed. */
  public static final Setting<Duration> PREFIX_ENTRY_LIFETIME =
      declare(
          "prefix.belief-lifetime",
          "duration",
          "30s",
          "1ms to 1h",
          "Time after which an engine is no longer believed to hold a prefix.",
          ValueParsers.duration(MILLISECOND, HOUR));

  /** Timeout for open requests during a graceful shutdown. */
  public static final Setting<Duration> SHUTDOWN_DRAIN_TIMEOUT =
      declare(
          "shutdown.drain-timeout",
          "duration",
          "10m",
          "1ms to 1h",
          "Longest time that a planned stop waits for open requests.",
          ValueParsers.duration(MILLISECOND, HOUR));

  private static final List<Setting<?>> ALL =
      List.of(
          NODE_ID,
          NODE_ZONE,
          BIND_ADDRESS,
          THREADS,
          CALLERS_PORT,
          OPERATORS_PORT,
          OPERATORS_TOKEN,
          PEERS_PORT,
          PEERS_SEEDS,
          PEERS_SHARED_KEY,
          PLATFORM_ADDRESS,
          PLATFORM_TIMEOUT,
          PLATFORM_POLL_INTERVAL,
          REQUEST_MAX_BODY_BYTES,
          REQUEST_MAX_HEADER_BYTES,
          REQUEST_BODY_TIMEOUT,
          REQUEST_DEFAULT_DEADLINE,
          REQUEST_MAX_CONNECTIONS,
          ENGINE_REPORT_INTERVAL,
          ENGINE_REMOTE_REPORT_INTERVAL,
          ENGINE_TOKEN_TIMEOUT,
          ENGINE_MAX_RETRIES,
          QUEUE_MAX_LENGTH,
          PREFIX_INDEX_CAPACITY,
          PREFIX_ENTRY_LIFETIME,
          SHUTDOWN_DRAIN_TIMEOUT);

  private final Map<Setting<?>, Object> values;

  NodeSettings(Map<Setting<?>, Object> values) {
    this.values = Map.copyOf(values);
  }

  private static <T> Setting<T> declare(
      String key,
      String type,
      String defaultText,
      String range,
      String description,
      Function<String, T> parser) {
    return new Setting<>(key, type, defaultText, range, description, false, parser);
  }

  private static Setting<String> secret(
      String key, String defaultText, String range, String description) {
    return new Setting<>(
        key,
        "secret",
        defaultText,
        range,
        description,
        true,
        text -> text.equals(defaultText) ? text : ValueParsers.text(16).apply(text));
  }

  /**
   * Loads and validates the settings of a node.
   *
   * @param file YAML file of keys and values, or null for none
   * @param flags values that override the file
   * @throws SettingsException if anything is wrong; the message names file, key, value and remedy
   */
  public static NodeSettings load(@Nullable Path file, Map<String, String> flags) {
    return new NodeSettings(SettingsLoader.load(ALL, file, flags));
  }

  /** Returns the contents of docs/SETTINGS.md. */
  public static String referencePage() {
    return SettingsReference.toMarkdown(
        "Settings of a node",
        "Written by `lockdale node --settings-reference`; a test keeps it current. Settings stand"
            + " in one YAML\nfile, a `key: value` a line, or in flags `--set key=value`, which"
            + " win. Secrets are never printed.",
        ALL);
  }

  /** Returns all declarations in the order of the reference page. */
  public static List<Setting<?>> declarations() {
    return ALL;
  }

  /** Returns the value of a setting. */
  @SuppressWarnings("unchecked")
  public <T> T get(Setting<T> setting) {
    return (T) values.get(setting);
  }
}
