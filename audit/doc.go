// Package audit checks the responses that callers received against the runs in
// the workers' histories.
//
// The randomised tests and the demo use it. The workers' histories are the only
// evidence: nothing that limpetrelay reports about itself is trusted.
package audit
