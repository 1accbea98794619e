// Package audit judges what callers were told by what the workers ran.
//
// It is used by the randomised tests and by the demo. The workers' histories
// are the only evidence; nothing that limpetrelay says of itself counts.
package audit
