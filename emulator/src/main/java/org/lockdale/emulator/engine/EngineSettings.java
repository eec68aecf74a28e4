package org.lockdale.emulator.engine;

import java.util.Map;

/**
 * Speed and size of an emulated engine. The defaults resemble a mid-size model on one accelerator:
 * 50,000 prompt tokens a second of prefill and a decode step of about 15 ms.
 *
 * @param id engine id
 * @param zone zone of the engine
 * @param labels labels that engine selectors match
 * @param weights weights version by model
 * @param maxRunning maximum number of sequences in a batch
 * @param maxQueued maximum number of requests that wait for a place in the batch
 * @param prefillTokensPerStep maximum number of prompt tokens computed in a step
 * @param stepMicros fixed duration of a step in microseconds
 * @param prefillMicrosPerToken additional duration of a step in microseconds for each prompt token
 * @param decodeMicrosPerSequence additional duration of a step in microseconds for each decoding
 *     sequence
 * @param cacheBlocks capacity of the cache in prefix blocks
 * @param loadReportMicros age in microseconds at which a load report is renewed
 * @param cacheEventDelayMicros delay in microseconds until a cache event is published
 * @param cacheEventLossPerMille cache events per thousand that are never published
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

  /** Returns settings with the default speed and size. */
  public static EngineSettings standard(
      String id, String zone, Map<String, String> labels, Map<String, String> weights) {
    return new EngineSettings(
        id, zone, labels, weights, 32, 256, 2_048, 10_000, 20, 150, 4_096, 250_000, 200_000, 20);
  }

  /** Returns these settings with another number of cache blocks. */
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
   * Returns these settings with steps of a fixed duration, whatever they compute, for measurements
   * of the overhead of forwarding.
   *
   * @param micros duration of a step in microseconds
   * @param running maximum number of sequences in a batch, and of requests that wait
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
