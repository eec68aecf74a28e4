package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import java.util.List;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.placement.Placement;
import org.lockdale.gateway.placement.PlacementDecider;
import org.lockdale.gateway.placement.PlacementResult;
import org.lockdale.protocol.generated.PlacementAnswer;
import org.lockdale.protocol.generated.PlacementDelay;
import org.lockdale.protocol.generated.PlacementQuestion;
import org.lockdale.protocol.generated.RateGrant;

/** Answers placement queries of other nodes and records the placements. Runs on one event loop. */
public final class PlacementResponder {

  /**
   * Leaves more numbers for each millisecond than queries can arrive in it, so that no number
   * repeats after a restart.
   */
  private static final int NUMBERS_PER_MILLISECOND_BITS = 10;

  private final DatagramExchange datagrams;
  private final PlacementDecider decider;
  private final PeerLoads loads;
  private final Time time;
  private long lastPlacementNumber;

  /**
   * Creates a responder.
   *
   * @param datagrams sends the answers
   * @param decider decides which backend serves a request
   * @param loads records the placements
   * @param time clock
   */
  public PlacementResponder(
      DatagramExchange datagrams, PlacementDecider decider, PeerLoads loads, Time time) {
    this.datagrams = datagrams;
    this.decider = decider;
    this.loads = loads;
    this.time = time;
    // A restarted relay continues above the numbers of its earlier incarnation.
    this.lastPlacementNumber = time.monotonicMillis() << NUMBERS_PER_MILLISECOND_BITS;
  }

  void answer(String sender, InetSocketAddress address, PlacementQuestion question) {
    PlacementResult result =
        decider.decideForAnother(PlacementMessages.query(question), time.monotonicMillis());
    reply(sender, address, question, result);
  }

  /**
   * Sends a result, and records it if it is a placement.
   *
   * @return number of the placement, or 0 if it is none
   */
  long reply(
      String sender,
      InetSocketAddress address,
      PlacementQuestion question,
      PlacementResult result) {
    if (result instanceof PlacementResult.RetryLater retryLater) {
      // A node of an earlier version ignores this message and uses the answer that follows; others
      // use whichever arrives first.
      datagrams.sendRateMessage(
          List.of(address), new PlacementDelay(question.getNumber(), retryLater.waitMillis()));
    }
    if (result instanceof PlacementResult.Placed placed
        && decider.countsTowardsRateLimit(placed.placement().target())) {
      datagrams.sendRateMessage(List.of(address), new RateGrant(question.getNumber()));
    }
    datagrams.send(
        address,
        result
            .placed()
            .map(placement -> placed(sender, question, placement))
            .orElseGet(() -> PlacementMessages.none(question.getNumber())));
    return result.placed().isPresent() ? lastPlacementNumber : 0;
  }

  private PlacementAnswer placed(String sender, PlacementQuestion question, Placement placement) {
    lastPlacementNumber++;
    String engine = placement.target().backend().id();
    long waiting = placement.computedTokens() + lastPartTokens(question);
    loads.recordPlacement(sender, lastPlacementNumber, engine, waiting);
    return PlacementMessages.answer(question.getNumber(), lastPlacementNumber, placement);
  }

  private static long lastPartTokens(PlacementQuestion question) {
    int parts = question.getParts().size();
    return parts == 0 ? 0 : question.getParts().get(parts - 1).getTokens();
  }
}
