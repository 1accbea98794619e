// Package admission queues requests per organisation and refuses new ones when
// an organisation's queue has become too slow.
//
// The measure is the time that the head of the queue has waited, not the
// queue's length: a long queue that moves fast is fine, and a short one that
// does not move is not (Nichols and Jacobson, Controlling Queue Delay, 2012).
// Organisations take turns, so that one's burst does not delay another's
// requests.
//
//	var q admission.Queue
//	if !q.Admit("skimworks", now) { } // refuse: nothing was done
//	q.Push("skimworks", "request-1", now)
//	q.Turn(func(id string) bool { return start(id) })
package admission
