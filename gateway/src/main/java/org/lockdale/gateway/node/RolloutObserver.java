package org.lockdale.gateway.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.table.MalformedRecordException;
import org.lockdale.gateway.table.TableFollower;
import org.lockdale.gateway.table.TableRowChange;
import org.lockdale.gateway.weights.EngineMove;
import org.lockdale.gateway.weights.RolloutBoard;
import org.lockdale.gateway.weights.RolloutProgress;
import org.tinylog.Logger;

/** Keeps the section {@code rollout} from the table of the rollout's coordinator. */
final class RolloutObserver implements TableFollower.Listener {

  private final GatewayBlackboard blackboard;
  private final RolloutBoard board;
  private final Time time;

  RolloutObserver(GatewayBlackboard blackboard, RolloutBoard board, Time time) {
    this.blackboard = blackboard;
    this.board = board;
    this.time = time;
  }

  @Override
  public void onTable(Map<String, TableRowChange> rows, boolean changed, long provenAtMillis) {
    if (!changed) {
      return;
    }
    List<EngineMove> moves = new ArrayList<>();
    for (TableRowChange row : rows.values()) {
      try {
        moves.add(board.read(row));
      } catch (MalformedRecordException malformed) {
        Logger.warn("event=rollout-row-rejected cause=\"{}\"", malformed.getMessage());
      }
    }
    long now = time.monotonicMillis();
    RolloutProgress progress = blackboard.rollout().value().with(moves, now);
    blackboard.rollout().publish(progress, provenAtMillis);
    blackboard.backends().value().all().forEach(progress::observe);
  }
}
