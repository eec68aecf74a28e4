package org.lockdale.gateway.cluster;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.admission.AdmissionTerms;
import org.lockdale.gateway.placement.PlacementQuery;
import org.lockdale.gateway.placement.PlacementResult;

/** A request of this node that is being placed. Confined to one event loop. */
final class OpenTicket {

  final PlacementQuery query;
  final AdmissionTerms terms;
  final CompletableFuture<PlacementResult> result;
  final long submittedMillis;
  final Set<String> asked = new HashSet<>();
  long number;
  RelayElection.@Nullable Relay relay;
  long askedMillis;
  long heardMillis;
  boolean held;
  boolean granted;
  boolean rejected;

  OpenTicket(
      PlacementQuery query,
      AdmissionTerms terms,
      CompletableFuture<PlacementResult> result,
      long nowMillis) {
    this.query = query;
    this.terms = terms;
    this.result = result;
    this.submittedMillis = nowMillis;
  }

  PlacementQuery queryAt(long nowMillis) {
    return query.withTerms(termsAt(nowMillis));
  }

  AdmissionTerms termsAt(long nowMillis) {
    return terms.afterMillis(nowMillis - submittedMillis);
  }
}
