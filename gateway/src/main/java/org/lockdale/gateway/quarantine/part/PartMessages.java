package org.lockdale.gateway.quarantine.part;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lockdale.protocol.generated.PartCrashRecord;
import org.lockdale.protocol.generated.PartSuspectRecord;

/**
 * Converts suspected parts to and from the form in which nodes send them to each other and keep
 * them in the shared store.
 */
public final class PartMessages {

  private PartMessages() {}

  /** Converts a suspected part to a message. */
  public static PartSuspectRecord write(PartSuspect suspect) {
    List<PartCrashRecord> crashes = new ArrayList<>();
    suspect
        .crashes()
        .forEach(
            (key, crash) ->
                crashes.add(
                    new PartCrashRecord(key, crash.caller(), crash.request(), crash.cleared())));
    return new PartSuspectRecord(
        suspect.part().model(),
        suspect.part().id(),
        suspect.depth(),
        crashes,
        suspect.holds(),
        suspect.trials());
  }

  /** Converts a message to a suspected part. */
  public static PartSuspect read(PartSuspectRecord message) {
    Map<String, PartCrash> crashes = new TreeMap<>();
    for (PartCrashRecord crash : message.getCrashes()) {
      crashes.put(
          crash.getEngine(),
          new PartCrash(crash.getCaller(), crash.getRequest(), crash.getCleared()));
    }
    return new PartSuspect(
        new PromptPartKey(message.getModel(), message.getPart()),
        message.getDepth(),
        crashes,
        message.getHolds(),
        message.getTrials());
  }
}
