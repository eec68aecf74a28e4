package org.lockdale.soak.judge;

/**
 * The software versions of the stand-in servers. They depend on the id of a server, so that servers
 * of two versions serve side by side, a restarted server keeps its version, and one that replaces
 * another may bring a different one.
 */
public final class SoftwareVersions {

  private static final int VERSIONS = 2;

  private SoftwareVersions() {}

  /** Returns the newer or the older one of the versions. */
  public static String named(boolean newer) {
    return newer ? "v1" : "v0";
  }

  /** Returns the software version of a server, given its id or the name of its incarnation. */
  public static String of(String server) {
    int end = server.indexOf('@');
    String id = end < 0 ? server : server.substring(0, end);
    return "v" + Math.floorMod(id.hashCode(), VERSIONS);
  }
}
