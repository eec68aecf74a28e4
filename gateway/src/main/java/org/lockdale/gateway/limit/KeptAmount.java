package org.lockdale.gateway.limit;

/**
 * Part of one tenant's limit that belongs to the writer of the row of stored levels. It consists of
 * the stored level, which nobody uses, and the advance, which the writer of the row uses. An amount
 * is moved into the row before the write is sent, and out of it after the write has succeeded, so
 * that it is never in both. Performs no I/O. Not thread-safe.
 */
final class KeptAmount {

  private double advance;
  private double stored;

  /** Amount that a write in progress adds to the row. */
  private double moving;

  /** Stored level after the write in progress. */
  private double next;

  /** Returns the amount that the owner of the row may use. */
  double advance() {
    return advance;
  }

  /** Returns the sum of the advance, the stored level and what is being moved between them. */
  double total() {
    return advance + stored + moving;
  }

  /** Adds an amount that the bucket gained beyond its own capacity, up to a maximum in total. */
  void gain(double amount, double maxTotal) {
    advance += Math.max(0, Math.min(amount, maxTotal - total()));
  }

  /** Uses a part of the advance. */
  void use(double amount) {
    advance -= amount;
  }

  /**
   * Discards what exceeds a maximum in total, the advance first, as after the limit was lowered.
   * What is in the row remains there, but is forgotten when the row is replaced.
   */
  void limitTo(double maxTotal) {
    advance = Math.max(0, Math.min(advance, maxTotal - stored - moving));
    stored = Math.min(stored, maxTotal);
  }

  /**
   * Begins to replace the row, and returns the level that the new row is to hold.
   *
   * @param wantedAdvance advance that is to remain for use
   */
  double beginWrite(double wantedAdvance) {
    next = Math.max(0, total() - wantedAdvance);
    moving = Math.max(0, next - stored);
    advance -= moving;
    return next;
  }

  /** Ends a write that has replaced the row. */
  void written() {
    advance += Math.max(0, stored - next);
    stored = next;
    moving = 0;
  }

  /** Ends a write that certainly had no effect and never will. */
  void notWritten() {
    advance += moving;
    moving = 0;
  }

  /**
   * Sets the stored level to that of the row as it was read back after a write without an answer.
   * What the write was to add is discarded if it is not in the row, since the write may yet arrive.
   */
  void readBack(double level) {
    stored = level;
    moving = 0;
  }

  /** Discards the stored level, which another owner has claimed. */
  void superseded() {
    stored = 0;
    moving = 0;
  }

  /** Sets the advance to a claimed level, in place of all that was known. */
  void claimed(double level) {
    advance = level;
    superseded();
  }
}
