package org.lockdale.gateway.backend;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * Record of a backend in the shared store.
 *
 * @param incarnation the server and the start time of its process; a restart starts a new
 *     incarnation
 * @param pool pool that the backend belongs to
 * @param address address at which it is reached
 * @param zone zone in which it runs
 * @param softwareVersion version of its software, which has no order and is unrelated to the
 *     versions of weights
 * @param slots number of requests that it processes at once
 * @param draining whether the backend is draining and accepts no new requests
 * @param weights version of the weights of each model that it runs
 */
public record Backend(
    Incarnation incarnation,
    String pool,
    InetSocketAddress address,
    String zone,
    String softwareVersion,
    int slots,
    boolean draining,
    Map<String, Long> weights) {

  /** Creates the record of an incarnation, given by its text form, in a pool of one version. */
  public Backend(
      String id,
      String pool,
      InetSocketAddress address,
      String zone,
      int slots,
      boolean draining,
      Map<String, Long> weights) {
    this(Incarnation.parse(id), pool, address, zone, "", slots, draining, weights);
  }

  /** Returns the text form of the incarnation, the key under which its state is kept. */
  public String id() {
    return incarnation.toString();
  }

  /**
   * Compares all components. Written explicitly, since the method that is generated for records is
   * linked at run time in every process that calls it.
   */
  @Override
  public boolean equals(Object other) {
    return other instanceof Backend backend
        && incarnation.equals(backend.incarnation)
        && pool.equals(backend.pool)
        && address.equals(backend.address)
        && zone.equals(backend.zone)
        && softwareVersion.equals(backend.softwareVersion)
        && slots == backend.slots
        && draining == backend.draining
        && weights.equals(backend.weights);
  }

  @Override
  public int hashCode() {
    return incarnation.hashCode();
  }
}
