/*
 * Versioned configuration, as implemented by ConfigurationHistory and ConfigurationReplica. Operators
 * edit concurrently, and responses are lost. Network partitions delay updates to replicas, which may
 * arrive more than once and in any order. Replicas restart empty.
 */
module configuration

open util/ordering[Version]

sig Version {}
sig Edit {}

abstract sig Guard {}
one sig CreateNextRow, OnlyNewer extends Guard {}
one sig Guards { on : set Guard }

// The table has one row per version; the first version exists initially.
one sig Table { var row : Version -> Edit }
sig Replica { var inForce : lone Version }

pred init { Table.row = first -> Table.row[first] and one Table.row[first] and no inForce }

fun newest : lone Version { max[Table.row.Edit] }

// ConfigurationHistory.propose: an edit is accepted by creating the row that follows its base version
pred propose [base : Version, e : Edit] {
  some base.next and base in Table.row.Edit
  CreateNextRow in Guards.on implies no Table.row[base.next]
  Table.row' = Table.row ++ base.next -> e
  inForce' = inForce
}

// ConfigurationReplica.apply: a version received from the table or from a peer, possibly an outdated one
pred apply [r : Replica, v : Version] {
  v in Table.row.Edit
  OnlyNewer in Guards.on implies (no r.inForce or v in r.inForce.nexts)
  inForce' = inForce ++ r -> v
  Table.row' = Table.row
}

pred restart [r : Replica] { inForce' = inForce - r -> r.inForce and Table.row' = Table.row }
pred stutter { inForce' = inForce and Table.row' = Table.row }

fact behaviour {
  init
  always (stutter or (some r : Replica | restart[r])
    or (some v : Version, e : Edit | propose[v, e])
    or (some r : Replica, v : Version | apply[r, v]))
}

pred allGuards { Guards.on = Guard }
// The row of an accepted edit never changes.
pred acceptedIsKept { always all v : Version | some Table.row[v] implies Table.row'[v] = Table.row[v] }
// The version in force at a replica never decreases, except that a restart resets it to none.
pred neverReverts { always all r : Replica | (some r.inForce and some r.inForce') implies r.inForce' in r.inForce.*next }

check acceptedEditsAreKept { allGuards implies acceptedIsKept } for 4 but 1..10 steps
check replicasNeverRevert { allGuards implies neverReverts } for 4 but 1..10 steps
run aNewerVersionCanReachAll { allGuards and eventually Replica.inForce = last } for 4 but 1..10 steps

check withoutCreateNextRow { Guards.on = Guard - CreateNextRow implies acceptedIsKept } for 4 but 1..10 steps
check withoutOnlyNewer { Guards.on = Guard - OnlyNewer implies neverReverts } for 4 but 1..10 steps
