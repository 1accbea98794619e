// Package retry limits retries so that they cannot multiply the load in an
// outage.
//
// First attempts add to a Budget and retries draw from it. With the default ratio
// of 0.1, retries add at most a tenth to the load, plus a small reserve without
// which an idle process could not retry at all. Backoff returns exponentially
// growing, bounded and jittered waits.
//
//	var b retry.Budget
//	b.Deposit()         // at each first attempt
//	if b.Withdraw() { } // before each retry
package retry
