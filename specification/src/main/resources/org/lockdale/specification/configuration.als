/*
 * Versioned configuration: ConfigurationHistory and ConfigurationReplica. Operators race; replies are
 * lost; zones are cut, so replicas learn from others late, twice or in any order; replicas restart
 * empty.
 */
module configuration

open util/ordering[Version]

sig Version {}
sig Edit {}

abstract sig Guard {}
one sig CreateNextRow, OnlyNewer extends Guard {}
one sig Guards { on : set Guard }

// The table: one row a version; the first version is there from the beginning.
one sig Table { var row : Version -> Edit }
sig Replica { var inForce : lone Version }

pred init { Table.row = first -> Table.row[first] and one Table.row[first] and no inForce }

fun newest : lone Version { max[Table.row.Edit] }

// ConfigurationHistory.propose: creating the row after the base accepts the edit
pred propose [base : Version, e : Edit] {
  some base.next and base in Table.row.Edit
  CreateNextRow in Guards.on implies no Table.row[base.next]
  Table.row' = Table.row ++ base.next -> e
  inForce' = inForce
}

// ConfigurationReplica.apply: a transfer read from the table or from a peer, perhaps an old one
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
// An accepted edit stays what it is.
pred acceptedIsKept { always all v : Version | some Table.row[v] implies Table.row'[v] = Table.row[v] }
// A replica goes back only by a restart, which it begins with nothing.
pred neverReverts { always all r : Replica | (some r.inForce and some r.inForce') implies r.inForce' in r.inForce.*next }

check acceptedEditsAreKept { allGuards implies acceptedIsKept } for 4 but 1..10 steps
check replicasNeverRevert { allGuards implies neverReverts } for 4 but 1..10 steps
run aNewerVersionCanReachAll { allGuards and eventually Replica.inForce = last } for 4 but 1..10 steps

check withoutCreateNextRow { Guards.on = Guard - CreateNextRow implies acceptedIsKept } for 4 but 1..10 steps
check withoutOnlyNewer { Guards.on = Guard - OnlyNewer implies neverReverts } for 4 but 1..10 steps
