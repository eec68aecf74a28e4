package org.lockdale.gateway.cluster;

import org.lockdale.gateway.backend.AdvertisedRate;
import org.lockdale.gateway.rate.AdvertisedRates;
import org.lockdale.protocol.generated.RateRecord;

/**
 * A rate that a backend advertised in a response to this node or to another one.
 *
 * @param backend id of the backend's incarnation
 * @param rate the rate
 * @param sentAtMillis monotonic time at which the request of the response was sent
 * @param receivedAtMillis monotonic time at which the first part of the response was received
 */
record RateObservation(
    String backend, AdvertisedRate rate, long sentAtMillis, long receivedAtMillis) {

  /**
   * Longest assumed transit time of a message. The receiver derives times from the ages in a
   * message, so they appear later than they were by the transit time; this is subtracted from send
   * times.
   */
  private static final long MAX_TRANSIT_MILLIS = 200;

  static RateObservation of(String backend, AdvertisedRates.Observation rate) {
    return new RateObservation(
        backend,
        rate.isLimit() ? new AdvertisedRate.Limited(rate.perSecond()) : AdvertisedRate.NONE,
        rate.sentAtMillis(),
        rate.receivedAtMillis());
  }

  /**
   * Creates an observation from the record of another node.
   *
   * @param record the record
   * @param nowMillis monotonic time at which the record was received
   */
  static RateObservation of(RateRecord record, long nowMillis) {
    Double perSecond = record.getPerSecond();
    return new RateObservation(
        record.getEngine(),
        perSecond == null ? AdvertisedRate.NONE : new AdvertisedRate.Limited(perSecond),
        nowMillis - record.getSentAgoMillis() - MAX_TRANSIT_MILLIS,
        nowMillis - record.getHeardAgoMillis());
  }

  RateRecord toRecord(long nowMillis) {
    Double perSecond = rate instanceof AdvertisedRate.Limited limited ? limited.perSecond() : null;
    return new RateRecord(
        backend, perSecond, nowMillis - sentAtMillis, nowMillis - receivedAtMillis);
  }
}
