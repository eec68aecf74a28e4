package org.lockdale.emulator.engine;

import java.util.Map;

/**
 * Speed and size of a stand-in engine. The defaults resemble a mid-size model on one accelerator:
 * 50,000 prompt tokens a second of prefill and a decode step of about 15 ms.
 *
 * @param id engine id
 * @param zone zone of the engine
 * @param labels labels that engine selectors match
 * @param weights weights version by model
 * @param maxRunning most sequences in one batch
 * @param maxQueued most requests that wait for a place in the batch
 * @param prefillTokensPerStep most prompt tokens computed in one step
 * @param stepMicros fixed time of a step
 * @param prefillMicrosPerToken further time for each prompt token
 * @param decodeMicrosPerSequence further time for each sequence that decodes
 * @param cacheBlocks prefix blocks that fit the cache
 * @param loadReportMicros age a load report may reach before it is made anew
 * @param cacheEventDelayMicros time until a cache event is published
 * @param cacheEventLossPerMille share of cache events that are never published
 */
public record EngineSettings(
    String id,
    String zone,
    Map<String, String> labels,
    Map<String, String> weights,
    int maxRunning,
    int maxQueued,
    int prefillTokensPerStep,
    long stepMicros,
    double prefillMicrosPerToken,
    double decodeMicrosPerSequence,
    int cacheBlocks,
    long loadReportMicros,
    long cacheEventDelayMicros,
    int cacheEventLossPerMille) {

  /** Returns settings of default speed and size. */
  public static EngineSettings standard(
      String id, String zone, Map<String, String> labels, Map<String, String> weights) {
    return new EngineSettings(
        id, zone, labels, weights, 32, 256, 2_048, 10_000, 20, 150, 4_096, 250_000, 200_000, 20);
  }

  /** Returns the same engine with another number of cache blocks. */
  public EngineSettings withCacheBlocks(int blocks) {
    return new EngineSettings(
        id,
        zone,
        labels,
        weights,
        maxRunning,
        maxQueued,
        prefillTokensPerStep,
        stepMicros,
        prefillMicrosPerToken,
        decodeMicrosPerSequence,
        blocks,
        loadReportMicros,
        cacheEventDelayMicros,
        cacheEventLossPerMille);
  }

  /**
   * Returns an engine of the same size whose steps take next to no time, for relay measurements.
   */
  public EngineSettings withFastSteps(long micros, int running) {
    return new EngineSettings(
        id,
        zone,
        labels,
        weights,
        running,
        running,
        Integer.MAX_VALUE,
        micros,
        0,
        0,
        cacheBlocks,
        loadReportMicros,
        cacheEventDelayMicros,
        cacheEventLossPerMille);
  }
}
