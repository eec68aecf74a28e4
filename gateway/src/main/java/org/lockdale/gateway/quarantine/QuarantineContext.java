package org.lockdale.gateway.quarantine;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.coordination.blackboard.Snapshot;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.quarantine.part.PartContext;
import org.lockdale.gateway.quarantine.part.PartSuspect;
import org.lockdale.gateway.quarantine.part.SuspectParts;
import org.lockdale.http.Reachability;

/**
 * Dependencies of a quarantine.
 *
 * @param eventLoop runs it
 * @param prober determines how an address responds to a new connection
 * @param backends backends that have a record, and when that was last known to be current
 * @param table rows of the suspects that all nodes have to know
 * @param node id of this node
 * @param sender sends suspects to all other nodes
 * @param partSender sends suspected prompt parts to all other nodes
 * @param owners asks other nodes about the attempts that they have recorded
 * @param coordinator whether this node is the relay node, which is elected to act for all nodes
 * @param time clock
 */
public record QuarantineContext(
    ScheduledExecutorService eventLoop,
    Function<InetSocketAddress, CompletableFuture<Reachability>> prober,
    Supplier<Snapshot<BackendTable>> backends,
    SuspectTable table,
    String node,
    Consumer<List<Suspect>> sender,
    Consumer<List<PartSuspect>> partSender,
    AttemptOwners owners,
    BooleanSupplier coordinator,
    Time time) {

  /** Returns the dependencies of the quarantine of prompt parts. */
  PartContext ofParts(Section<SuspectParts> section) {
    return new PartContext(eventLoop, section, table, partSender, coordinator, time);
  }
}
