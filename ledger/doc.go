// Package ledger is the replicated state machine of limpetrelay: the state that
// every host computes from the records of the log.
//
// Apply is deterministic: it reads no clock, uses no randomness, and its result
// does not depend on map order. Every host therefore computes the same state and
// the same verdicts from the same prefix of the log. A record that breaks a rule
// is rejected with a typed error and leaves jobs, workers, terms and
// configuration unchanged. The rules are few and stable. The choice of placements
// (package policy) may differ between versions of the program, because a
// placement is recorded and the ledger only validates it.
//
// A guarantee is the number of cells per level that an organisation is entitled
// to in a data centre. Its cells are virtual: they are not tied to workers. A
// guaranteed job uses virtual cells of its organisation's guarantee; any other
// placed job is a borrower, which can be preempted when an unused guarantee is
// reclaimed. The main invariant is that the unused guarantees stay allocatable:
// they fit into the cells of the live accelerated workers that guaranteed jobs do
// not hold. It is suspended while these workers could not hold all guarantees even
// when idle, which a loss of workers can cause.
//
//	var l ledger.Ledger
//	verdict := l.Apply(0, record.Record{Host: "h", Incarnation: "i", Sequence: 1, Patch: p})
//	verdict.Err // nil when the patch was accepted
package ledger
