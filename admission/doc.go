// Package admission queues requests per organisation and rejects new ones while
// the organisation's queue is too slow.
//
// The measure is the time that the head of the queue has waited, not the length
// of the queue: a long queue that moves fast is acceptable, and a short one that
// is stalled is not (Nichols and Jacobson, Controlling Queue Delay, 2012).
// Organisations are served round-robin, so that a burst of one does not delay the
// requests of another.
//
//	var q admission.Queue
//	if !q.Admit("skimworks", now) { } // reject: nothing was done
//	q.Push("skimworks", "request-1", now)
//	q.Dispatch(func(id string) bool { return start(id) })
package admission
