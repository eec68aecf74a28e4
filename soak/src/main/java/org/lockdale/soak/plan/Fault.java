package org.lockdale.soak.plan;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.lockdale.soak.standin.OddValue;
import org.lockdale.soak.standin.SecondReplyKind;

/** A fault or change that a run injects into its deployment. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "fault")
public sealed interface Fault {

  /** Faults of a link. */
  enum LinkTrouble {
    /** Bytes arrive late. */
    DELAYED,
    /** Open connections are reset. */
    RESET,
    /** Nothing is forwarded from the source to the destination. */
    CUT_FORTH,
    /** Nothing is forwarded from the destination to the source. */
    CUT_BACK,
    /** Open connections stop forwarding for good without being closed, while new ones work. */
    SILENCED
  }

  /** What happens to new connections of a node that is cut off from the servers. */
  enum ConnectTrouble {
    /** They are refused. */
    REFUSED,
    /** They are not answered. */
    UNANSWERED
  }

  /** What happens to open connections of a node that is cut off from the servers. */
  enum OpenTrouble {
    /** They are reset. */
    RESET,
    /** Nothing is forwarded until the end of the fault. */
    SILENT
  }

  /** Faults of the store. */
  enum StoreTrouble {
    /** Calls get status 503. */
    DOWN,
    /** Calls get no response. */
    SILENT,
    /** Calls get status 429. */
    THROTTLED,
    /** All previous changes are lost. */
    FORGETFUL,
    /** The store's process is paused. */
    PAUSED
  }

  /** What nodes get from the store that refuses them while it serves others. */
  enum RefusalTrouble {
    /** Status 503. */
    DOWN,
    /** No response. */
    SILENT,
    /** Status 429. */
    THROTTLED
  }

  /** Faults of a process. */
  enum ProcessTrouble {
    /** Stopped by SIGSTOP for a while. */
    PAUSED,
    /** Killed by SIGKILL and started again after a while. */
    KILLED,
    /** Terminated by SIGTERM and started again after a while. */
    RESTARTED,
    /** Made to reload its settings by SIGHUP. */
    TOLD_TO_RELOAD
  }

  /** Changes by the operator. */
  enum OperatorChange {
    /** One tenant's key is replaced. */
    KEY_REPLACED,
    /** A route goes to another service. */
    ROUTE_MOVED,
    /** A route is added. */
    ROUTE_ADDED,
    /** The route added last is removed. */
    ROUTE_REMOVED,
    /** Newer weights become the target version. */
    WEIGHTS_NAMED
  }

  /**
   * A fault of the links between two processes.
   *
   * @param source process that connects
   * @param destination process that listens, or {@link Deployment#ANY}
   * @param lastsMillis duration of the fault, in milliseconds
   */
  record OnLink(String source, String destination, LinkTrouble trouble, long lastsMillis)
      implements Fault {}

  /** A fault of a process, with its duration in milliseconds. */
  record OnProcess(String process, ProcessTrouble trouble, long lastsMillis) implements Fault {}

  /** A fault of the store, with its duration in milliseconds. */
  record OnStore(StoreTrouble trouble, long lastsMillis) implements Fault {}

  /** A change by the operator. */
  record ByOperator(OperatorChange change) implements Fault {}

  /**
   * Another writer puts an entry into the server table that describes no usable server.
   *
   * @param key key of the entry
   * @param value value of the entry, without spaces
   * @param lastsMillis time until the entry is removed, in milliseconds
   */
  record ForeignEntry(String key, String value, long lastsMillis) implements Fault {}

  /**
   * Another writer puts an entry into a table that readers may fail at.
   *
   * @param lastsMillis time until the entry is removed, in milliseconds
   */
  record OddEntry(String table, String key, OddValue value, long lastsMillis) implements Fault {}

  /**
   * A server advertises in its responses a rate limit for all nodes together.
   *
   * @param perSecond limit in requests per second
   * @param lastsMillis time for which it advertises the limit, in milliseconds
   */
  record RateNamed(String server, double perSecond, long lastsMillis) implements Fault {}

  /**
   * A server announces in its responses that it is draining; only later does its record in the
   * store show this, and then the server terminates.
   *
   * @param unrecordedMillis time until its record shows that it is draining, in milliseconds
   */
  record LeavingSaid(String server, long unrecordedMillis) implements Fault {}

  /**
   * A server rejects requests and requests a backoff from their nodes.
   *
   * @param restMillis requested backoff, in milliseconds
   * @param share fraction of its requests that it rejects, 0 to 1
   * @param lastsMillis time for which it does so, in milliseconds
   */
  record RestWanted(String server, long restMillis, double share, long lastsMillis)
      implements Fault {}

  /**
   * A server answers twice, the second time with another status.
   *
   * @param share fraction of its replies that it repeats, 0 to 1
   * @param maxDelayMillis maximum time from the first to the second reply, in milliseconds
   * @param lastsMillis time for which it does so, in milliseconds
   */
  record SecondReplies(
      String server, SecondReplyKind kind, double share, int maxDelayMillis, long lastsMillis)
      implements Fault {}

  /**
   * A server is shut down as planned and replaced by another.
   *
   * @param announced whether the server announces that it is draining before
   */
  record ServerReplaced(String server, boolean announced) implements Fault {}

  /**
   * An engine is shut down as planned and replaced by one of a given software version, unless it
   * runs that version.
   *
   * @param newer whether that is the newer one of the two versions
   * @param announced whether the engine announces that it is draining before
   */
  record SoftwareReleased(String engine, boolean newer, boolean announced) implements Fault {}

  /**
   * All nodes are killed at one moment by SIGKILL.
   *
   * @param lastsMillis time until they are started again, in milliseconds
   */
  record AllNodesKilled(long lastsMillis) implements Fault {}

  /**
   * All engines are killed at one moment by SIGKILL.
   *
   * @param lastsMillis time until they are started again, in milliseconds
   */
  record AllEnginesKilled(long lastsMillis) implements Fault {}

  /**
   * A node can't connect to any server, while other nodes, callers and the store reach it and all
   * others reach the servers.
   *
   * @param lastsMillis duration of the fault, in milliseconds
   */
  record NodeCutFromServers(
      String node, ConnectTrouble connects, OpenTrouble open, long lastsMillis) implements Fault {}

  /**
   * The store refuses some nodes and serves the others, while the operator replaces keys.
   *
   * @param nodes nodes that are refused
   * @param replacedKeys number of replaced keys, the first one shortly after the start
   * @param lastsMillis duration of the fault, in milliseconds
   */
  record StoreRefusesNodes(
      List<String> nodes, RefusalTrouble trouble, int replacedKeys, long lastsMillis)
      implements Fault {

    /** Copies the nodes. */
    public StoreRefusesNodes {
      nodes = List.copyOf(nodes);
    }
  }
}
