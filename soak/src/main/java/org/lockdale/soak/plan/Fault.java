package org.lockdale.soak.plan;

import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** Something that is done to the deployment from outside. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "fault")
public sealed interface Fault {

  /** How a link misbehaves. */
  enum LinkTrouble {
    /** Bytes arrive late. */
    DELAYED,
    /** Open connections are reset. */
    RESET,
    /** Nothing passes from the source to the destination. */
    CUT_FORTH,
    /** Nothing passes from the destination to the source. */
    CUT_BACK,
    /** Open connections pass nothing any more, for good, while new ones work. */
    SILENCED
  }

  /** How the store misbehaves. */
  enum StoreTrouble {
    /** Calls are answered 503. */
    DOWN,
    /** Calls are not answered. */
    SILENT,
    /** Calls are answered 429. */
    THROTTLED,
    /** Changes so far are forgotten. */
    FORGETFUL,
    /** The store's process is paused. */
    PAUSED
  }

  /** What a process suffers. */
  enum ProcessTrouble {
    /** Stopped by SIGSTOP for a while. */
    PAUSED,
    /** Ended by SIGKILL and started again after a while. */
    KILLED,
    /** Ended by SIGTERM and started again after a while. */
    RESTARTED,
    /** Told by SIGHUP that its settings changed. */
    TOLD_TO_RELOAD
  }

  /** What the operator changes. */
  enum OperatorChange {
    /** One tenant's key is replaced. */
    KEY_REPLACED,
    /** A route goes to another service. */
    ROUTE_MOVED,
    /** A route is added. */
    ROUTE_ADDED,
    /** The route added last is removed. */
    ROUTE_REMOVED,
    /** Newer weights are named. */
    WEIGHTS_NAMED
  }

  /**
   * Trouble on the links between two processes.
   *
   * @param source process that connects, or {@link Deployment#ANY}
   * @param destination process that listens, or {@link Deployment#ANY}
   * @param lastsMillis how long the trouble lasts, in milliseconds
   */
  record OnLink(String source, String destination, LinkTrouble trouble, long lastsMillis)
      implements Fault {}

  /** Trouble of a process, which lasts so many milliseconds. */
  record OnProcess(String process, ProcessTrouble trouble, long lastsMillis) implements Fault {}

  /** Trouble of the store, which lasts so many milliseconds. */
  record OnStore(StoreTrouble trouble, long lastsMillis) implements Fault {}

  /** A change by the operator. */
  record ByOperator(OperatorChange change) implements Fault {}

  /**
   * Another writer puts an entry into the servers' table that names no server to use.
   *
   * @param key key of the entry
   * @param value what it holds, without spaces
   * @param lastsMillis how long it stands, in milliseconds
   */
  record ForeignEntry(String key, String value, long lastsMillis) implements Fault {}

  /**
   * A server in need names in its answers the rate that it takes from all nodes together.
   *
   * @param perSecond requests a second
   * @param lastsMillis for how long it does so, in milliseconds
   */
  record RateNamed(String server, double perSecond, long lastsMillis) implements Fault {}

  /**
   * A server says in its answers that it leaves, and its record says so only later; then it leaves.
   *
   * @param unrecordedMillis time until its record says so, in milliseconds
   */
  record LeavingSaid(String server, long unrecordedMillis) implements Fault {}

  /**
   * A server turns requests away and asks their nodes for rest.
   *
   * @param restMillis rest that it asks for, in milliseconds
   * @param share part of its requests that it turns away, 0 to 1
   * @param lastsMillis for how long it does so, in milliseconds
   */
  record RestWanted(String server, long restMillis, double share, long lastsMillis)
      implements Fault {}

  /** A server leaves as planned, after having said so or not, and another takes its place. */
  record ServerReplaced(String server, boolean announced) implements Fault {}
}
