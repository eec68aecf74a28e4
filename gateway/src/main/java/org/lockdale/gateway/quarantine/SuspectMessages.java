package org.lockdale.gateway.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lockdale.protocol.generated.SuspectEndRecord;
import org.lockdale.protocol.generated.SuspectRecord;

/**
 * Converts suspects to and from the form in which nodes send them to each other and keep them in
 * the shared store.
 */
public final class SuspectMessages {

  private SuspectMessages() {}

  /** Converts a suspect to a message. */
  public static SuspectRecord write(Suspect suspect) {
    List<SuspectEndRecord> crashes = new ArrayList<>();
    for (Map.Entry<String, CrashInvolvement> entry : suspect.crashes().entrySet()) {
      CrashInvolvement crash = entry.getValue();
      crashes.add(new SuspectEndRecord(entry.getKey(), crash.early(), crash.cleared()));
    }
    RequestFingerprint fingerprint = suspect.fingerprint();
    return new SuspectRecord(fingerprint.high(), fingerprint.low(), suspect.sketch(), crashes);
  }

  /** Converts a message to a suspect. */
  public static Suspect read(SuspectRecord message) {
    Map<String, CrashInvolvement> crashes = new TreeMap<>();
    for (SuspectEndRecord entry : message.getEnds()) {
      crashes.put(entry.getEngine(), new CrashInvolvement(entry.getEarly(), entry.getForgiven()));
    }
    RequestFingerprint fingerprint = new RequestFingerprint(message.getHigh(), message.getLow());
    return new Suspect(fingerprint, message.getSketch(), crashes);
  }
}
