package org.lockdale.gateway.capacity;

import java.util.List;
import org.lockdale.gateway.capacity.SpeedEstimator.Estimate;

/**
 * Medians over the backends of a pool; 0 where nothing is known.
 *
 * @param gapMillis usual time between two events of a stream, in milliseconds
 * @param calmGapMillis the same while the engine computes no prompts, in milliseconds
 * @param tokensPerMilli prompt tokens that an engine computes per millisecond
 * @param callMillis usual time of a call without a stream, in milliseconds
 * @param mostSlowed whether most backends of known speed are slower than usual, so that slowness
 *     distinguishes none
 */
record PoolMedians(
    double gapMillis,
    double calmGapMillis,
    double tokensPerMilli,
    double callMillis,
    boolean mostSlowed) {

  static PoolMedians of(List<Estimate> estimates) {
    return new PoolMedians(
        SpeedEstimator.medianOver(estimates, Estimate::gapMillis),
        SpeedEstimator.medianOver(estimates, Estimate::calmGapMillis),
        SpeedEstimator.medianOver(estimates, Estimate::tokensPerMilli),
        SpeedEstimator.medianOver(estimates, Estimate::callMillis),
        SpeedEstimator.areMostSlowed(estimates));
  }

  /**
   * Returns the speed of a backend of the pool relative to the median; 1 if unknown. The rate at
   * which an engine computes prompts is preferred to the gaps of its streams, as the streams that
   * run beside change it less.
   */
  double speedOf(Estimate estimate) {
    if (estimate.tokensPerMilli() > 0 && tokensPerMilli > 0) {
      return estimate.tokensPerMilli() / tokensPerMilli;
    }
    if (estimate.calmGapMillis() > 0 && calmGapMillis > 0) {
      return calmGapMillis / estimate.calmGapMillis();
    }
    return estimate.callMillis() > 0 && callMillis > 0 ? callMillis / estimate.callMillis() : 1;
  }
}
