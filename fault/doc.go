// Package fault provides the typed errors that limpetrelay returns to callers
// and operators.
//
// Every error carries a Kind from a closed set and a remedy, the action
// that the reader can take. Errors cross process boundaries as plain data, so that
// a caller can branch on the kind without parsing text.
//
//	err := fault.New(fault.Invalid, "the gang has no members", "set members to 1 or more")
//	fault.KindOf(err) // fault.Invalid
package fault
