package org.lockdale.gateway.backend;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * What the record of a back end says.
 *
 * @param id id of this incarnation; a restart brings a new one
 * @param pool pool that it belongs to
 * @param address where it is reached
 * @param zone zone it stands in
 * @param slots requests that it works on at once
 * @param leaving whether it takes no new work
 * @param weights version of the weights of each model that it runs
 */
public record Backend(
    String id,
    String pool,
    InetSocketAddress address,
    String zone,
    int slots,
    boolean leaving,
    Map<String, Long> weights) {

  /** Written out, since a record's own is linked anew in every process that calls it. */
  @Override
  public boolean equals(Object other) {
    return other instanceof Backend backend
        && id.equals(backend.id)
        && pool.equals(backend.pool)
        && address.equals(backend.address)
        && zone.equals(backend.zone)
        && slots == backend.slots
        && leaving == backend.leaving
        && weights.equals(backend.weights);
  }

  @Override
  public int hashCode() {
    return id.hashCode();
  }
}
