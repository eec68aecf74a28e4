package org.lockdale.gateway.request;

/**
 * Checks what is reported about attempts.
 *
 * @param invariants checks the reports
 */
record SimulatedReports(RequestInvariants invariants) implements AttemptReports {

  private static String nameOf(RunningAttempt attempt) {
    return ((SimulatedAttempt) attempt).name;
  }

  @Override
  public boolean isQuarantined() {
    return false;
  }

  @Override
  public boolean isSuspected() {
    return true;
  }

  @Override
  public void onSending(RunningAttempt attempt) {
    invariants.requireOpen(nameOf(attempt) + " is sent");
  }

  @Override
  public void onConcluded(RunningAttempt attempt, AttemptResult result) {
    invariants.judged(nameOf(attempt));
  }

  @Override
  public void onAnswered(RunningAttempt attempt) {
    invariants.requireOpen(nameOf(attempt) + " is answered");
  }

  @Override
  public void onOutlived(RunningAttempt attempt) {
    invariants.outlived(nameOf(attempt));
  }

  @Override
  public void onLeftSilent(RunningAttempt attempt) {
    invariants.judged(nameOf(attempt));
  }

  @Override
  public void onTimedOut(RunningAttempt attempt) {
    invariants.judged(nameOf(attempt));
  }

  @Override
  public void onCallerLeft(RunningAttempt attempt, boolean sent) {
    if (sent) {
      invariants.judged(nameOf(attempt));
    }
  }

  @Override
  public void onRequestEnded() {
    invariants.requireOpen("the end is reported");
  }
}
