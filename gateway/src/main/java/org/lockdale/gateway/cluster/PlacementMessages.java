package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.admission.AdmissionTerms;
import org.lockdale.gateway.caller.PromptPart;
import org.lockdale.gateway.placement.Placement;
import org.lockdale.gateway.placement.PlacementQuery;
import org.lockdale.protocol.generated.AdmissionTermsRecord;
import org.lockdale.protocol.generated.PlacementAnswer;
import org.lockdale.protocol.generated.PlacementQuestion;
import org.lockdale.protocol.generated.PlacementTicket;
import org.lockdale.settings.ValueParsers;

/** Converts between placements and their messages. */
final class PlacementMessages {

  private PlacementMessages() {}

  static PlacementQuery query(PlacementQuestion question) {
    List<PromptPart> parts = new ArrayList<>(question.getParts().size());
    question.getParts().forEach(part -> parts.add(new PromptPart(part.getId(), part.getTokens())));
    return new PlacementQuery(
        question.getPool(),
        question.getZone(),
        question.getModel(),
        // At nodes of an earlier version, only isolated tenants have a scope, their name.
        question.getIsolatedTenant(),
        parts,
        new HashSet<>(question.getExcluded()),
        null,
        null);
  }

  static PlacementQuery query(PlacementTicket ticket) {
    return query(ticket.getQuestion()).withTerms(terms(ticket.getTerms()));
  }

  private static AdmissionTerms terms(AdmissionTermsRecord terms) {
    return new AdmissionTerms(
        terms.getWaitedMillis(),
        terms.getObjectiveMillis(),
        terms.getPatienceMillis(),
        terms.getGapObjectiveMillis(),
        terms.getPriority(),
        terms.getTenant(),
        terms.getPromptTokens(),
        terms.getOutputTokens(),
        terms.getPossiblyRun());
  }

  static AdmissionTermsRecord record(AdmissionTerms terms) {
    return new AdmissionTermsRecord(
        terms.waitedMillis(),
        terms.objectiveMillis(),
        terms.patienceMillis(),
        terms.gapObjectiveMillis(),
        terms.priority(),
        terms.tenant(),
        terms.promptTokens(),
        terms.outputTokens(),
        terms.possiblyRun());
  }

  static PlacementAnswer answer(long number, long placementNumber, Placement placement) {
    return new PlacementAnswer(
        number,
        placementNumber,
        placement.target().backend().id(),
        placement.weights(),
        placement.computedTokens(),
        text(placement.transfer().source()),
        text(placement.transfer().destination()),
        placement.waitingTokens());
  }

  static PlacementAnswer none(long number) {
    return new PlacementAnswer(number, 0L, null, null, 0L, null, null, 0L);
  }

  private static @Nullable String text(@Nullable InetSocketAddress address) {
    return address == null ? null : address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /**
   * Parses an address; null for null.
   *
   * @throws IllegalArgumentException if the text is not an address
   */
  static @Nullable InetSocketAddress address(@Nullable String text) {
    return text == null ? null : ValueParsers.address(text);
  }
}
