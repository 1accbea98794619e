// Package retry bounds repeated work so that retries cannot multiply in an
// outage.
//
// A Budget is filled by first tries and emptied by retries. With the default
// ratio of a tenth, retries add at most a tenth to the load, plus a small
// reserve that lets an idle process retry at all. Backoff gives growing,
// bounded and jittered waits.
//
//	var b retry.Budget
//	b.Deposit()         // at each first try
//	if b.Withdraw() { } // before each retry
package retry
