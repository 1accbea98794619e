// Package ledger is the replicated state of limpetrelay: what every host
// computes from the records of the log.
//
// Apply is pure: it uses no clock, no randomness and no map order that reaches
// the result, so that every host computes the same state and the same verdict
// from the same prefix of the log. A record that breaks a rule is refused with
// a typed error and changes nothing. The rules are few and stable; how a place
// is chosen (package policy) may differ between versions of the program, since
// a place is recorded and only validated here.
//
//	var l ledger.Ledger
//	verdict := l.Apply(0, record.Record{Host: "h", Incarnation: "i", Sequence: 1, Patch: p})
//	verdict.Err // nil when the patch was accepted
package ledger
