package org.lockdale.coordination.membership;

/** A probe that waits for its acknowledgement. */
final class Probe {

  final String target;
  final long sentAtMillis;
  boolean indirectSent;

  Probe(String target, long sentAtMillis) {
    this.target = target;
    this.sentAtMillis = sentAtMillis;
  }
}
