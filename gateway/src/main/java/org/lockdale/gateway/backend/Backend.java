package org.lockdale.gateway.backend;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * What the record of a back end says.
 *
 * @param incarnation the server and which of its lives; a restart begins a new one
 * @param pool pool that it belongs to
 * @param address where it is reached
 * @param zone zone it stands in
 * @param slots requests that it works on at once
 * @param leaving whether it takes no new work
 * @param weights version of the weights of each model that it runs
 */
public record Backend(
    Incarnation incarnation,
    String pool,
    InetSocketAddress address,
    String zone,
    int slots,
    boolean leaving,
    Map<String, Long> weights) {

  /** Creates the record of an incarnation that is named by its text form. */
  public Backend(
      String id,
      String pool,
      InetSocketAddress address,
      String zone,
      int slots,
      boolean leaving,
      Map<String, Long> weights) {
    this(Incarnation.parse(id), pool, address, zone, slots, leaving, weights);
  }

  /** Returns the text form of the incarnation, by which all that is learned of it is kept. */
  public String id() {
    return incarnation.toString();
  }

  /** Written out, since a record's own is linked anew in every process that calls it. */
  @Override
  public boolean equals(Object other) {
    return other instanceof Backend backend
        && incarnation.equals(backend.incarnation)
        && pool.equals(backend.pool)
        && address.equals(backend.address)
        && zone.equals(backend.zone)
        && slots == backend.slots
        && leaving == backend.leaving
        && weights.equals(backend.weights);
  }

  @Override
  public int hashCode() {
    return incarnation.hashCode();
  }
}
