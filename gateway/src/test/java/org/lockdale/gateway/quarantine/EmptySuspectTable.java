package org.lockdale.gateway.quarantine;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lockdale.gateway.quarantine.part.PartSuspect;
import org.lockdale.gateway.quarantine.part.PromptPartKey;
import org.lockdale.gateway.table.TableRowChange;

/** A table that accepts all writes and stores nothing. */
public class EmptySuspectTable implements SuspectTable {

  @Override
  public CompletableFuture<Void> record(Suspect suspect) {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<Void> remove(RequestFingerprint fingerprint) {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public Optional<Suspect> readSuspect(TableRowChange row) {
    return Optional.empty();
  }

  @Override
  public CompletableFuture<Void> recordPart(PartSuspect suspect) {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<Void> removePart(PromptPartKey part) {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public Optional<PartSuspect> readPart(TableRowChange row) {
    return Optional.empty();
  }

  @Override
  public CompletableFuture<Void> claimTrial(TrialClaim claim) {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<Void> removeTrial(TrialClaim claim) {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public Optional<TrialClaim> readTrial(TableRowChange row) {
    return Optional.empty();
  }

  @Override
  public CompletableFuture<Void> recordAttempt(SuspectAttempt attempt) {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<Void> removeAttempt(SuspectAttempt attempt) {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public Optional<SuspectAttempt> readAttempt(TableRowChange row) {
    return Optional.empty();
  }
}
