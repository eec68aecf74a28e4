package org.lockdale.emulator.platform;

/**
 * Faults injected into the emulated platform, always set together.
 *
 * @param outage whether every request is rejected
 * @param delayMillis delay of every request in milliseconds
 * @param lostReplyPerMille writes per thousand that take effect but whose response is lost
 * @param requestsPerSecond rate limit in requests a second, or 0 for none
 * @param machineListLagMillis age in milliseconds of the machine list that is served
 */
public record PlatformFaults(
    boolean outage,
    long delayMillis,
    int lostReplyPerMille,
    int requestsPerSecond,
    long machineListLagMillis) {

  /** No faults; the machine list lags by one second, as a real one does. */
  public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0, 0, 1_000);
}
