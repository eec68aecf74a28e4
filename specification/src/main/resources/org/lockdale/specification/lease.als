/*
 * A lease on a row of the shared store, as implemented by Lease and RolloutController. Nodes read the
 * row and later write it on condition that its version has not changed since. Responses may be received
 * late or never, and a node may pause at any time. A lease lasts one tick of the store's clock, and the
 * guard time is one more tick.
 */
module lease

open util/ordering[Tick] as time
open util/ordering[Version] as versions

sig Tick {}
sig Version {}

abstract sig Guard {}
one sig ConditionalWrite, GuardTime, StopBeforeEnd extends Guard {}
one sig Guards { on : set Guard }

one sig Clock { var now : Tick }
one sig Row { var version : Version, var holder : lone Node, var endsAt : lone Tick }

sig Node {
  // the last values read from the row, and the store's clock at that time
  var readVersion : lone Version,
  var readAt : lone Tick,
  var readHolder : lone Node,
  var readEnd : lone Tick,
  // end of the lease that this node wrote and whose success it learned of
  var heldEnd : lone Tick,
  // ticks at which it acted under the lease
  var acted : set Tick
}

pred readingsSame {
  readVersion' = readVersion and readAt' = readAt and readHolder' = readHolder and readEnd' = readEnd
}
pred rowSame { version' = version and holder' = holder and endsAt' = endsAt }

pred init {
  now = Clock -> time/first and version = Row -> versions/first
  no holder and no endsAt and no readVersion and no readAt and no readHolder and no readEnd
  no heldEnd and no acted
}

pred tick {
  some Clock.now.(time/next) and now' = Clock -> Clock.now.(time/next)
  readingsSame and rowSame and heldEnd' = heldEnd and acted' = acted
}

// Lease.recordRead: the node reads the row
pred observe [n : Node] {
  readVersion' = readVersion ++ n -> Row.version
  readAt' = readAt ++ n -> Clock.now
  readHolder' = (readHolder - n -> Node) + n -> Row.holder
  readEnd' = (readEnd - n -> Tick) + n -> Row.endsAt
  rowSame and now' = now and heldEnd' = heldEnd and acted' = acted
}

// Lease.claim and the store's conditional write; the node learns of its success at once or never
pred claim [n : Node] {
  some n.readAt and some n.readAt.(time/next) and some Row.version.(versions/next)
  ConditionalWrite in Guards.on implies n.readVersion = Row.version
  (some n.readHolder and n.readHolder != n) implies foreignLeaseIsOver[n]
  version' = Row -> Row.version.(versions/next)
  holder' = Row -> n
  endsAt' = Row -> n.readAt.(time/next)
  heldEnd' = heldEnd ++ n -> n.readAt.(time/next) or heldEnd' = heldEnd
  readingsSame and now' = now and acted' = acted
}

pred foreignLeaseIsOver [n : Node] {
  GuardTime in Guards.on
    implies n.readAt in n.readEnd.(time/nexts)
    else n.readAt in n.readEnd + n.readEnd.(time/nexts)
}

// Lease.mayAct: the node acts under its lease, with StopBeforeEnd only before the end of it
pred act [n : Node] {
  some n.heldEnd
  StopBeforeEnd in Guards.on implies n.heldEnd in Clock.now.(time/nexts)
  acted' = acted + n -> Clock.now
  readingsSame and rowSame and now' = now and heldEnd' = heldEnd
}

pred stutter {
  readingsSame and rowSame and now' = now and heldEnd' = heldEnd and acted' = acted
}

fact behaviour {
  init
  always (stutter or tick or some n : Node | observe[n] or claim[n] or act[n])
}

pred allGuards { Guards.on = Guard }

// Two nodes never act at the same tick or at adjacent ticks.
pred holdersKeepApart {
  always all disj a, b : Node | no (a.acted & (b.acted + b.acted.(time/next) + b.acted.(time/prev)))
}

check nodesNeverActWithinTheGuard { allGuards implies holdersKeepApart }
  for 2 but 5 Tick, 4 Version, 1..11 steps
run theLeaseCanPassOn {
  allGuards and eventually (all n : Node | some n.acted)
} for 2 but 5 Tick, 4 Version, 1..11 steps

check withoutConditionalWrite { Guards.on = Guard - ConditionalWrite implies holdersKeepApart }
  for 2 but 5 Tick, 4 Version, 1..11 steps
check withoutGuardTime { Guards.on = Guard - GuardTime implies holdersKeepApart }
  for 2 but 5 Tick, 4 Version, 1..11 steps
check withoutStopBeforeEnd { Guards.on = Guard - StopBeforeEnd implies holdersKeepApart }
  for 2 but 5 Tick, 4 Version, 1..11 steps
