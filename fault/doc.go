// Package fault provides the typed errors that limpetrelay returns to callers
// and operators.
//
// Every error carries a Kind from a closed set and a remedy that tells the
// reader what to do next. Errors cross process boundaries as plain data, so a
// caller can branch on the kind without parsing text.
//
//	err := fault.New(fault.Invalid, "the gang has no members", "set members to 1 or more")
//	fault.KindOf(err) // fault.Invalid
package fault
