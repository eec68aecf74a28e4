package org.lockdale.gateway.quarantine.part;

import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.coordination.time.Time;

/**
 * Dependencies of a {@link PartQuarantine}.
 *
 * @param eventLoop runs it
 * @param section where it publishes to the request path which parts are held back
 * @param table rows of the parts that all nodes have to know
 * @param sender sends suspected parts to all other nodes
 * @param coordinator whether this node is the relay node, which is elected to act for all nodes
 * @param time clock
 */
public record PartContext(
    ScheduledExecutorService eventLoop,
    Section<SuspectParts> section,
    PartTable table,
    Consumer<List<PartSuspect>> sender,
    BooleanSupplier coordinator,
    Time time) {}
