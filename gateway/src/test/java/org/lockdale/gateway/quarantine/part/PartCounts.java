package org.lockdale.gateway.quarantine.part;

import java.util.HashMap;
import java.util.Map;

/** Counts what happens in a {@link PartSimulation}. */
final class PartCounts {

  private static final int CRASHES_TO_KNOW = 5;

  /** Requests after which the share of those that begin is meaningful. */
  private static final int MIN_COMPARED = 20;

  private static final long NEVER = Long.MAX_VALUE / 2;

  private static final class Share {
    private int sent;
    private int begun;

    void count(boolean hasBegun) {
      sent++;
      begun += hasBegun ? 1 : 0;
    }
  }

  /**
   * What happened in a run.
   *
   * @param crashes crashes of servers
   * @param guiltySends requests with guilty parts that servers received
   * @param worstLateSends the same, later than the contact time after the fifth crash, of the part
   *     with the most
   * @param soundRequests requests without guilty parts
   * @param soundHeldBack those of them that were held back
   * @param lostSound those of them that were lost in crashes
   * @param comparableShare share of the sound requests with the caller or first part of a guilty
   *     one that begin twice the contact time after the fifth crash, in proportion to the share
   *     before the first crash; 1 if there are too few
   */
  record Result(
      int crashes,
      int guiltySends,
      int worstLateSends,
      int soundRequests,
      int soundHeldBack,
      int lostSound,
      double comparableShare) {}

  private final long contactMillis;
  private final Map<String, Integer> crashesOfParts = new HashMap<>();
  private final Map<String, Long> fifthCrashes = new HashMap<>();
  private final Map<String, Integer> lateSends = new HashMap<>();
  private final Share before = new Share();
  private final Share after = new Share();
  private int crashes;
  private int guiltySends;
  private int soundRequests;
  private int soundHeldBack;
  private int lostSound;

  PartCounts(long contactMillis) {
    this.contactMillis = contactMillis;
  }

  void crash() {
    crashes++;
  }

  void crashOf(String part, long nowMillis) {
    if (crashesOfParts.merge(part, 1, Integer::sum) == CRASHES_TO_KNOW) {
      fifthCrashes.put(part, nowMillis);
    }
  }

  void lostSound() {
    lostSound++;
  }

  void sound(boolean heldBack) {
    soundRequests++;
    soundHeldBack += heldBack ? 1 : 0;
  }

  /**
   * Counts a request with a guilty part that is sent.
   *
   * @param inTouch whether its node has been undisturbed for the contact time
   */
  void guiltySend(String part, boolean inTouch, long nowMillis) {
    guiltySends++;
    if (inTouch && nowMillis > fifthCrashes.getOrDefault(part, NEVER) + contactMillis) {
      lateSends.merge(part, 1, Integer::sum);
    }
  }

  /** Counts a sound request with the caller or the first part of guilty ones. */
  void comparable(boolean begun, boolean beforeFirstCrash, long nowMillis) {
    long known = fifthCrashes.values().stream().mapToLong(each -> each).max().orElse(NEVER);
    if (beforeFirstCrash) {
      before.count(begun);
    } else if (nowMillis > known + 2 * contactMillis) {
      after.count(begun);
    }
  }

  Result result() {
    return new Result(
        crashes,
        guiltySends,
        lateSends.values().stream().mapToInt(each -> each).max().orElse(0),
        soundRequests,
        soundHeldBack,
        lostSound,
        comparableShare());
  }

  private double comparableShare() {
    if (before.sent < MIN_COMPARED || after.sent < MIN_COMPARED) {
      return 1;
    }
    return (double) after.begun / after.sent * before.sent / before.begun;
  }
}
