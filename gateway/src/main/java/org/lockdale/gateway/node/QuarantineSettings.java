package org.lockdale.gateway.node;

import static org.lockdale.gateway.node.SettingDeclarations.duration;

import java.time.Duration;
import org.lockdale.gateway.quarantine.QuarantineTimes;
import org.lockdale.settings.Setting;

/** Declares the settings of the quarantine of requests that crash backends. */
final class QuarantineSettings {

  /** Time for which a request that crashed backends is quarantined. */
  static final Setting<Duration> HOLD =
      duration(
          "quarantine.hold",
          "60m",
          "How long a request is quarantined after three backends have crashed while they ran it;"
              + " then it may be tried again, and is quarantined again at its next crash.");

  /** Time from the last crash under a quarantined request to its first trial. */
  static final Setting<Duration> TRIAL_DELAY =
      duration(
          "quarantine.trial-delay",
          "5s",
          "How long after the last crash a quarantined request is sent once more, to find out"
              + " whether it crashes backends; callers are refused until then.");

  private QuarantineSettings() {}

  /** Returns the times of a quarantine that the settings of a node give. */
  static QuarantineTimes times(GatewaySettings settings) {
    return new QuarantineTimes(settings.get(HOLD).toMillis(), settings.get(TRIAL_DELAY).toMillis());
  }
}
