package org.lockdale.coordination.membership;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import org.lockdale.protocol.generated.MemberStatus;
import org.lockdale.protocol.generated.MemberUpdate;

/**
 * What this node believes of one node.
 *
 * @param id node id, unique in the cluster
 * @param incarnation rises with every restart and every refuted suspicion
 * @param peerAddress IP address and port of node-to-node messages
 * @param operatorPort port of the operators' HTTP interface at the same IP address
 * @param zone zone of the node
 * @param status what is believed
 */
public record Member(
    String id,
    long incarnation,
    InetSocketAddress peerAddress,
    int operatorPort,
    String zone,
    MemberStatus status) {

  /** Returns the member of an update. */
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

  Member with(MemberStatus newStatus, long newIncarnation) {
    return new Member(id, newIncarnation, peerAddress, operatorPort, zone, newStatus);
  }

  /** Returns the address of the member's operators' HTTP interface. */
  public InetSocketAddress operatorAddress() {
    return new InetSocketAddress(peerAddress.getAddress(), operatorPort);
  }

  /** Returns whether the member can be expected to answer. */
  public boolean isReachable() {
    return status != MemberStatus.DEAD;
  }

  /** Returns whether new responsibilities may be given to the member. */
  public boolean isAlive() {
    return status == MemberStatus.ALIVE;
  }

  /**
   * Returns whether this belief replaces another of the same member: a later incarnation always
   * does; within one incarnation bad news wins, since only the member itself may take it back, and
   * it does so with a later incarnation.
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
