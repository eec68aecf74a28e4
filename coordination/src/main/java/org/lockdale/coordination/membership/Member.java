package org.lockdale.coordination.membership;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import org.lockdale.protocol.generated.MemberStatus;
import org.lockdale.protocol.generated.MemberUpdate;

/**
 * A member of the cluster as known at this node.
 *
 * @param id node id, unique in the cluster
 * @param incarnation number that increases with every restart and every refuted suspicion
 * @param peerAddress IP address and port for messages between nodes
 * @param operatorPort port of the operators' HTTP interface at the same IP address
 * @param zone zone of the node
 * @param status known status
 */
public record Member(
    String id,
    long incarnation,
    InetSocketAddress peerAddress,
    int operatorPort,
    String zone,
    MemberStatus status) {

  /**
   * Returns the member that an update describes.
   *
   * @throws IllegalArgumentException if the update has no valid IP address
   */
  static Member of(MemberUpdate update) {
    ByteBuffer buffer = update.getAddress().duplicate();
    byte[] address = new byte[buffer.remaining()];
    buffer.get(address);
    try {
      InetSocketAddress peer =
          new InetSocketAddress(InetAddress.getByAddress(address), update.getPeerPort());
      return new Member(
          update.getId(),
          update.getIncarnation(),
          peer,
          update.getOperatorPort(),
          update.getZone(),
          update.getStatus());
    } catch (UnknownHostException malformed) {
      throw new IllegalArgumentException(
          "member " + update.getId() + " has no valid IP address", malformed);
    }
  }

  MemberUpdate toUpdate() {
    return new MemberUpdate(
        id,
        incarnation,
        ByteBuffer.wrap(peerAddress.getAddress().getAddress()),
        peerAddress.getPort(),
        operatorPort,
        zone,
        status);
  }

  Member withStatus(MemberStatus newStatus, long newIncarnation) {
    return new Member(id, newIncarnation, peerAddress, operatorPort, zone, newStatus);
  }

  /** Returns the address of the operators' HTTP interface of the member. */
  public InetSocketAddress operatorAddress() {
    return new InetSocketAddress(peerAddress.getAddress(), operatorPort);
  }

  /** Returns whether the member is not dead, so that a reply can be expected. */
  public boolean isReachable() {
    return status != MemberStatus.DEAD;
  }

  /**
   * Returns whether the member is alive, neither suspected nor leaving, so that it can take on new
   * tasks.
   */
  public boolean isAlive() {
    return status == MemberStatus.ALIVE;
  }

  /**
   * Returns whether this description replaces another one of the same member. A later incarnation
   * always takes precedence. Within an incarnation the more severe status does, since only the
   * member itself may refute it, and does so with a later incarnation.
   */
  boolean supersedes(Member other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    return severity(status) > severity(other.status);
  }

  private static int severity(MemberStatus status) {
    return switch (status) {
      case ALIVE -> 0;
      case LEAVING -> 1;
      case SUSPECT -> 2;
      case DEAD -> 3;
    };
  }
}
