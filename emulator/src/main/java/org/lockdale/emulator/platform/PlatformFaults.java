package org.lockdale.emulator.platform;

/**
 * Faults of the stand-in platform, switched as a whole.
 *
 * @param outage whether every call is refused
 * @param delayMillis time added to every call
 * @param lostReplyPerMille share of writes that take effect but whose reply is lost
 * @param requestsPerSecond rate limit, or 0 for none
 * @param machineListLagMillis age of the machine list that is served
 */
public record PlatformFaults(
    boolean outage,
    long delayMillis,
    int lostReplyPerMille,
    int requestsPerSecond,
    long machineListLagMillis) {

  /** No faults, with the lag that a real machine list has. */
  public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0, 0, 1_000);
}
