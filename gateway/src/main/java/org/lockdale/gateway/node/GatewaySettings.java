package org.lockdale.gateway.node;

import static org.lockdale.gateway.node.SettingDeclarations.address;
import static org.lockdale.gateway.node.SettingDeclarations.declare;
import static org.lockdale.gateway.node.SettingDeclarations.duration;
import static org.lockdale.gateway.node.SettingDeclarations.integer;
import static org.lockdale.gateway.node.SettingDeclarations.toggle;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.lockdale.settings.Setting;
import org.lockdale.settings.SettingsException;
import org.lockdale.settings.SettingsLoader;
import org.lockdale.settings.SettingsReference;
import org.lockdale.settings.ValueParsers;

/** Declares the settings of a gateway node and holds their validated values. */
public final class GatewaySettings {

  private static final int MAX_COUNT = 1_000_000;
  private static final int MAX_ZONES = 1_000;

  /** Kilobytes that are queued for one caller at most, whatever the marks. */
  private static final int MAX_MARK = 1_024;

  /** Upper bound of tokens in a window, far above what any deployment uses. */
  private static final int MAX_AMOUNT = 1_000_000_000;

  /** Unique id of this node. */
  public static final Setting<String> NODE_ID =
      declare(
          "node.id",
          "name",
          "",
          "lower-case letters, digits, dots, hyphens",
          "Id of this node, unique among all nodes; a restarted node keeps it.",
          ValueParsers.name());

  /** Zone in which this node runs. */
  public static final Setting<String> NODE_ZONE =
      declare(
          "node.zone",
          "name",
          "",
          "lower-case letters, digits, dots, hyphens",
          "Zone in which this node runs, as named in the records of backends.",
          ValueParsers.name());

  /** Bandwidth of this node's link, in megabits per second. */
  public static final Setting<Double> NODE_LINK =
      declare(
          "node.link",
          "number",
          "0",
          "0 to 1000000",
          "Bandwidth of this node's link in megabits per second; nodes with the highest are"
              + " preferred as relays.",
          SettingParsers::count);

  /** Time after a start or an interruption at which every time bound applies to this node again. */
  public static final Setting<Duration> NODE_CATCH_UP =
      duration(
          "node.catch-up",
          "3s",
          "Time after a start or an interruption at which every time bound applies to this node"
              + " again; changes that it reads at first may be older than it can determine.");

  /** Memory of this node's process, in megabytes. */
  public static final Setting<Integer> NODE_MEMORY =
      integer(
          "node.memory",
          "0",
          0,
          MAX_COUNT,
          "Memory that the process may use, in megabytes; 0 if it is not known. What it may hold"
              + " for slow callers and backends and for waiting requests follows from it.");

  /** Queue of a caller above which its backend is no longer read, in kilobytes. */
  public static final Setting<Integer> FLOW_HIGH_MARK =
      integer(
          "flow.high-mark",
          "64",
          1,
          MAX_MARK,
          "Kilobytes queued for a caller above which its backend is no longer read.");

  /** Queue of a caller below which its backend is read again, in kilobytes. */
  public static final Setting<Integer> FLOW_LOW_MARK =
      integer(
          "flow.low-mark",
          "32",
          1,
          MAX_MARK,
          "Kilobytes queued for a caller below which its backend is read again; at most"
              + " flow.high-mark.");

  /** Share of the memory that may be held for slow callers and backends. */
  public static final Setting<Double> FLOW_HELD_SHARE =
      declare(
          "flow.held-share",
          "number",
          "0.125",
          "0 to 1",
          "Share of node.memory that may be held for slow callers and backends; 16 megabytes if"
              + " node.memory is not known.",
          SettingParsers::share);

  /** Time of a pause after which an unread response is read into the node's memory. */
  public static final Setting<Duration> FLOW_UNREAD_WAIT =
      duration(
          "flow.unread-wait",
          "1s",
          "Time for which a response is not read for a slow caller. After that it is read into"
              + " the node's memory, as its backend would cut it off.");

  /** Number of zones whose loss the deployment has to withstand. */
  public static final Setting<Integer> ZONES_LOST =
      integer(
          "zones.tolerated-losses",
          "0",
          0,
          MAX_ZONES,
          "Number of zones that may be lost at once while the others go on to serve; from 1 on,"
              + " features that are set to auto are on.");

  /** Whether short prompts get more engines, and late requests keep their order of urgency. */
  public static final Setting<Toggle> PROTECT_SHORT_PROMPTS =
      toggle(
          "placement.protect-short-prompts",
          "auto",
          "Whether more engines are preferred for short prompts, and late requests stay ahead of"
              + " less urgent ones; auto: if the loss of a zone has to be tolerated.");

  /** Whether requests wait in the deployment's own queue until an engine has room for them. */
  public static final Setting<Toggle> ADMISSION_QUEUE =
      toggle(
          "admission.queue",
          "off",
          "Whether requests to engines wait in a queue of the nodes until an engine has room for"
              + " them.");

  /** Whether engines are chosen by expected time. */
  public static final Setting<Toggle> PLACEMENT_BY_TIME =
      toggle(
          "placement.by-time",
          "off",
          "Whether engines are chosen by the expected time of a response, from their observed"
              + " speeds, rather than by queued tokens.");

  /** Whether engines that stop responding to all nodes get no further requests. */
  public static final Setting<Toggle> ENGINE_SILENCE =
      toggle(
          "engines.silence-detection",
          "off",
          "Whether an engine that stops responding to all nodes gets no further requests and loses"
              + " the repeatable ones that it has.");

  /** Whether levels of tenants' limits survive a restart of all nodes. */
  public static final Setting<Toggle> LIMITS_KEPT =
      toggle(
          "tenants.keep-levels",
          "off",
          "Whether the unused amounts of tenants' limits are kept in the store, so that a restart"
              + " of all nodes refuses fewer who are within the limit. Half of each limit's"
              + " capacity then depends on the store, so bursts are refused more often.");

  /** Number of event loops that serve connections. */
  public static final Setting<Integer> THREADS =
      integer(
          "node.threads",
          "1",
          1,
          256,
          "Number of event loops that serve callers and backends; one for each core.");

  /** Maximum number of files that the process may have open. */
  public static final Setting<Integer> OPEN_FILES =
      integer(
          "node.open-files",
          "16384",
          16,
          MAX_COUNT,
          "Maximum number of files that the process may have open. Callers get half of them, since"
              + " a request may also need a connection to a backend.");

  /** Address on which callers are served. */
  public static final Setting<InetSocketAddress> CALLERS_ADDRESS =
      address("callers.address", "Address on which callers are served.");

  /** Longest time for which a request waits until a starting node can serve it. */
  public static final Setting<Duration> CALLERS_START_WAIT =
      duration(
          "callers.start-wait",
          "800ms",
          "Longest time for which a request waits on a node that has just started and has not yet"
              + " read the configuration and the backends; after that it is rejected as not run.");

  /** Address on which the node responds to readiness checks. */
  public static final Setting<InetSocketAddress> READINESS_ADDRESS =
      address("readiness.address", "Address on which the node responds to readiness checks.");

  /** Address on which other nodes are served, by UDP and TCP. */
  public static final Setting<InetSocketAddress> PEERS_ADDRESS =
      address("peers.address", "Address on which other nodes are served, by UDP and TCP.");

  /** Address of the shared store. */
  public static final Setting<InetSocketAddress> STORE_ADDRESS =
      address("store.address", "Address of the store with the configuration and the backends.");

  /** Longest time for which the store holds a call that polls for changes. */
  public static final Setting<Duration> STORE_WAIT =
      duration(
          "store.wait",
          "600ms",
          "Longest time for which the store holds a call while nothing changes; each response"
              + " proves that the configuration is current.");

  /** Timeout of calls to the store, in addition to the time for which the store holds them. */
  public static final Setting<Duration> STORE_TIMEOUT =
      duration("store.timeout", "800ms", "Longest wait for a response of the store.");

  /** Longest time for which a revoked API key may still be served. */
  public static final Setting<Duration> KEY_REVOCATION_BOUND =
      duration(
          "keys.revocation-bound",
          "5s",
          "Longest time for which a revoked key may still be served. Requests with a key are"
              + " rejected once nine tenths of it have passed since the configuration was last"
              + " proven current.");

  /** Maximum ratio of repeated sends to requests. */
  public static final Setting<Double> RETRY_RATIO =
      declare(
          "retries.ratio",
          "number",
          "0.2",
          "0 to 1",
          "Maximum ratio of repeated sends to requests, over all nodes, for each pool and window;"
              + " nodes keep to three quarters of it.",
          SettingParsers::share);

  /** Repeated sends that are allowed in a window regardless of the number of requests. */
  public static final Setting<Double> RETRY_ALLOWANCE =
      declare(
          "retries.allowance",
          "number",
          "50",
          "0 to 1000000",
          "Repeated sends that all nodes together may make in a window regardless of the number of"
              + " requests; nodes keep to half of it.",
          SettingParsers::count);

  /** Length of the sliding window of the retry budget. */
  public static final Setting<Duration> RETRY_WINDOW =
      duration("retries.window", "10s", "Sliding window in which retries are counted.");

  /** Length of the sliding window of the limits of tenants. */
  public static final Setting<Duration> LIMITS_WINDOW =
      duration(
          "tenants.limit-window",
          "8s",
          "Sliding window in which the usage of tenants is counted against their limits.");

  /** Fraction of a tenant's limit by which the limit may be exceeded. */
  public static final Setting<Double> LIMITS_OVERSHOOT =
      declare(
          "tenants.limit-overshoot",
          "number",
          "0.1",
          "0 to 1",
          "Fraction of a tenant's limit by which the limit may be exceeded in a window; used during"
              + " network partitions, and for requests larger than what remains of the limit.",
          SettingParsers::share);

  /** Amount by which a tenant's limit may be exceeded in addition, regardless of the limit. */
  public static final Setting<Double> LIMITS_SLACK =
      declare(
          "tenants.limit-slack",
          "number",
          "0",
          "0 to 1000000000",
          "Further amount by which a tenant's limit may be exceeded in a window, in its unit.",
          text -> SettingParsers.number(text, MAX_AMOUNT));

  /** Longest time for which older weights may serve after a new target version was set. */
  public static final Setting<Duration> WEIGHTS_BOUND =
      duration(
          "weights.bound",
          "8s",
          "Longest time for which older weights may serve after a new target version was set.");

  /** Minimum time between the orders of two holders of the same lease. */
  public static final Setting<Duration> LEASE_GUARD =
      duration(
          "lease.guard", "3s", "Minimum time between the orders of two holders of the same lease.");

  /** Timeout of connecting to a backend. */
  public static final Setting<Duration> CONNECT_TIMEOUT =
      duration("backends.connect-timeout", "300ms", "Longest wait for a connection to a backend.");

  /** Time from a stop signal until the process is killed. */
  public static final Setting<Duration> STOP_GRACE =
      duration("stop.grace", "8s", "Time from a stop signal until the process is killed.");

  private static final List<Setting<?>> ALL =
      List.of(
          NODE_ID,
          NODE_ZONE,
          NODE_LINK,
          NODE_CATCH_UP,
          NODE_MEMORY,
          FLOW_HIGH_MARK,
          FLOW_LOW_MARK,
          FLOW_HELD_SHARE,
          FLOW_UNREAD_WAIT,
          THREADS,
          OPEN_FILES,
          CALLERS_ADDRESS,
          CALLERS_START_WAIT,
          READINESS_ADDRESS,
          PEERS_ADDRESS,
          STORE_ADDRESS,
          STORE_WAIT,
          STORE_TIMEOUT,
          KEY_REVOCATION_BOUND,
          RETRY_RATIO,
          RETRY_ALLOWANCE,
          RETRY_WINDOW,
          LIMITS_WINDOW,
          LIMITS_OVERSHOOT,
          LIMITS_SLACK,
          LIMITS_KEPT,
          ZONES_LOST,
          PROTECT_SHORT_PROMPTS,
          ADMISSION_QUEUE,
          PLACEMENT_BY_TIME,
          ENGINE_SILENCE,
          WEIGHTS_BOUND,
          LEASE_GUARD,
          QuarantineSettings.HOLD,
          QuarantineSettings.TRIAL_DELAY,
          CONNECT_TIMEOUT,
          STOP_GRACE);

  private final Map<Setting<?>, Object> values;

  private GatewaySettings(Map<Setting<?>, Object> values) {
    this.values = Map.copyOf(values);
  }

  /**
   * Loads and validates the settings.
   *
   * @param file YAML file of keys and values, or null for none
   * @param flags values by key, which override those of the file
   * @throws SettingsException if any setting is invalid; the message names the file, key, value and
   *     remedy
   */
  public static GatewaySettings load(@Nullable Path file, Map<String, String> flags) {
    return new GatewaySettings(SettingsLoader.load(ALL, file, flags));
  }

  /** Returns the reference page of all settings, which is docs/GATEWAY-SETTINGS.md. */
  public static String referencePage() {
    return SettingsReference.toMarkdown(
        "Settings of a gateway node",
        "Written by `lockdale-gateway --settings-reference`; a test keeps it current. Settings"
            + " are given in\none YAML file, one `key: value` per line, or by flags"
            + " `--set key=value`, which take precedence.",
        ALL);
  }

  /** Returns the declarations of all settings, in the order of the reference page. */
  public static List<Setting<?>> declarations() {
    return ALL;
  }

  /** Returns the value of a setting. */
  @SuppressWarnings("unchecked")
  public <T> T get(Setting<T> setting) {
    return (T) values.get(setting);
  }

  /** Returns whether a feature is on, which for {@link Toggle#AUTO} follows from the zones. */
  public boolean isOn(Setting<Toggle> feature) {
    Toggle state = get(feature);
    return state == Toggle.ON || state == Toggle.AUTO && get(ZONES_LOST) > 0;
  }
}
