/*
 * Run-once claims on one idempotency key, as implemented by RunOnceClaims, ClaimStep and the tombstones
 * of the engine.
 *
 * A table row is created by a conditional write whose response may be lost and which may take effect
 * late. The comment of each action names the method that implements it. Guards.on holds the guards that are
 * enforced; the tests check that removing any one of them gives a counterexample.
 */
module runOnce

abstract sig Guard {}
one sig ConditionalCreate, ClaimBeforeDispatch, TombstoneBeforeRelease, SameIncarnation,
  ReleaseOnlyNotStarted extends Guard {}

one sig Guards { on : set Guard }

abstract sig State {}
one sig Claimed, NotRun, Complete extends State {}

one sig Engine { var incarnation : one Life }
sig Life {}                       // an incarnation of the engine

sig Attempt {
  node : one Node,
  target : one Life
}
sig Node {}

one sig Row { var holder : lone Attempt, var state : lone State }

var sig Past in Life {}           // earlier incarnations of the engine

var sig Writing in Attempt {}     // conditional create sent, not yet in effect
var sig Granted in Attempt {}     // the node learned that it holds the claim
var sig GaveUp in Attempt {}      // the node reported "not run" to its caller
var sig InTransit in Attempt {}   // dispatched, not yet received by the engine
var sig Sent in Attempt {}        // dispatched at some time
var sig Ran in Attempt {}         // attempts that ran in any incarnation
var sig Known in Attempt {}       // attempts that the present incarnation has a record of
var sig Tombstoned in Attempt {}  // rejected by the present incarnation if received

fun others : set Attempt { Attempt - (Writing + Granted + GaveUp + Sent) }

pred init {
  no holder and no state and no Writing and no Granted and no GaveUp
  no InTransit and no Sent and no Ran and no Known and no Tombstoned and no Past
}

pred rowSame { holder' = holder and state' = state }
pred nodesSame { Writing' = Writing and Granted' = Granted and GaveUp' = GaveUp and Sent' = Sent }
pred engineSame {
  Ran' = Ran and Known' = Known and Tombstoned' = Tombstoned
  incarnation' = incarnation and Past' = Past
}

// RunOnceClaims.claim: the conditional create is sent
pred claim [a : Attempt] {
  a in others
  Writing' = Writing + a
  Granted' = Granted and GaveUp' = GaveUp and InTransit' = InTransit
  rowSame and engineSame
  Sent' = Sent
}

// TableService.create takes effect, possibly long after the node stopped waiting
pred create [a : Attempt] {
  a in Writing
  ConditionalCreate in Guards.on implies (no holder or Row.state = NotRun)
  Row.holder' = a and Row.state' = Claimed
  Writing' = Writing - a
  Granted' = Granted and GaveUp' = GaveUp and InTransit' = InTransit
  engineSame
  Sent' = Sent
}

// TableService.create fails, as its condition does not hold
pred conditionFailed [a : Attempt] {
  a in Writing and some holder and Row.holder != a and Row.state != NotRun
  Writing' = Writing - a and GaveUp' = GaveUp + a
  Granted' = Granted and InTransit' = InTransit
  rowSame and engineSame
  Sent' = Sent
}

// RunOnceClaims.decideByRow: the response, or the row when read back, names the attempt as holder
pred decideByRow [a : Attempt] {
  a not in GaveUp + Granted
  ClaimBeforeDispatch in Guards.on
    implies (Row.holder = a and Row.state = Claimed)
    else a in Writing
  Granted' = Granted + a
  Writing' = Writing and GaveUp' = GaveUp and InTransit' = InTransit
  rowSame and engineSame
  Sent' = Sent
}

// ClaimFinisher.abandon: the node stops waiting; RunOnceClaims.abandon ends the row later
pred giveUp [a : Attempt] {
  a in Writing and a not in Granted
  GaveUp' = GaveUp + a
  Writing' = Writing and Granted' = Granted and InTransit' = InTransit
  rowSame and engineSame
  Sent' = Sent
}

// EngineClient.dispatch, once for each attempt
pred dispatch [a : Attempt] {
  a in Granted and a not in Sent + GaveUp
  InTransit' = InTransit + a and Sent' = Sent + a
  Writing' = Writing and Granted' = Granted and GaveUp' = GaveUp
  rowSame and engineSame
}

// EngineModel.submit: the engine receives the attempt; rejects it if it has a tombstone for it or is
// not the incarnation that the sender expected
pred submit [a : Attempt] {
  a in InTransit
  InTransit' = InTransit - a
  (a not in Tombstoned and (SameIncarnation in Guards.on implies a.target = Engine.incarnation))
    implies (Ran' = Ran + a and Known' = Known + a and Tombstoned' = Tombstoned)
    else (Ran' = Ran and Known' = Known and Tombstoned' = Tombstoned)
  incarnation' = incarnation and Past' = Past
  nodesSame and rowSame
}

// RunOnceClaims.abandon: ends the row of an attempt that was given up and never dispatched, as not run
pred abandon [a : Attempt] {
  a in GaveUp - Sent
  no holder or (Row.holder = a and Row.state = Claimed)
  Row.holder' = a and Row.state' = NotRun
  InTransit' = InTransit and nodesSame and engineSame
}

// RunOnceClaims.release: the holder ends its row as not run, after the engine definitely rejected it
pred release [a : Attempt] {
  Row.holder = a and Row.state = Claimed and a in Granted
  ReleaseOnlyNotStarted in Guards.on implies (a not in InTransit + Ran)
  Row.state' = NotRun and holder' = holder
  Granted' = Granted - a and GaveUp' = GaveUp + a
  Writing' = Writing and InTransit' = InTransit
  engineSame
  Sent' = Sent
}

// ClaimStep.takeOverClaim: another node ends the row as not run, after the engine, in the same
// incarnation, confirmed that the attempt never started
pred resolveHolder [a : Attempt] {
  Row.holder = a and Row.state = Claimed
  a not in Known
  SameIncarnation in Guards.on implies a.target = Engine.incarnation
  Row.state' = NotRun and holder' = holder
  TombstoneBeforeRelease in Guards.on
    implies Tombstoned' = Tombstoned + a
    else Tombstoned' = Tombstoned
  Ran' = Ran and Known' = Known and incarnation' = incarnation and Past' = Past
  InTransit' = InTransit and nodesSame
}

// RunOnceClaims.complete: the row of an attempt that ran is marked complete
pred complete [a : Attempt] {
  Row.holder = a and Row.state = Claimed and a in Ran
  Row.state' = Complete and holder' = holder
  InTransit' = InTransit and nodesSame and engineSame
}

// EngineServer.crash: the engine restarts empty, with a new incarnation
pred crash {
  Engine.incarnation' not in Past + Engine.incarnation
  Past' = Past + Engine.incarnation
  no Known' and no Tombstoned'
  Ran' = Ran and InTransit' = InTransit
  nodesSame and rowSame
}

pred stutter { InTransit' = InTransit and nodesSame and rowSame and engineSame }

pred step {
  stutter or crash or some a : Attempt |
    claim[a] or create[a] or conditionFailed[a] or decideByRow[a] or giveUp[a] or dispatch[a]
    or submit[a] or abandon[a] or release[a] or resolveHolder[a] or complete[a]
}

fact behaviour { init and always step }

pred allGuards { Guards.on = Guard }

// A request that must not be repeated runs at most once.
pred atMostOnce { always lone Ran }
// An attempt reported to its caller as "not run" did not run and never will.
pred notRunIsTrue { always no (GaveUp & Ran) }

check runsAtMostOnce { allGuards implies atMostOnce } for 3 but 1..14 steps
check toldNotRunIsTrue { allGuards implies notRunIsTrue } for 3 but 1..14 steps
run aRequestCanComplete { allGuards and eventually Row.state = Complete } for 3 but 1..14 steps
run aClaimCanBeTakenOver {
  allGuards and some disj a, b : Attempt |
    eventually (Row.holder = a and Row.state = NotRun and after eventually (b in Ran))
} for 3 but 1..14 steps

check withoutConditionalCreate {
  Guards.on = Guard - ConditionalCreate implies atMostOnce } for 3 but 1..14 steps
check withoutClaimBeforeDispatch {
  Guards.on = Guard - ClaimBeforeDispatch implies atMostOnce } for 3 but 1..14 steps
check withoutTombstoneBeforeRelease {
  Guards.on = Guard - TombstoneBeforeRelease implies atMostOnce } for 3 but 1..14 steps
check withoutSameIncarnation {
  Guards.on = Guard - SameIncarnation implies atMostOnce } for 3 but 1..14 steps
check withoutReleaseOnlyNotStarted {
  Guards.on = Guard - ReleaseOnlyNotStarted implies atMostOnce } for 3 but 1..14 steps
