// Package coordinator is the reducer of the coordinator: the one host that places
// the tasks of all jobs and sends the workers their orders.
//
// State.Apply takes one event and returns effects as data. It uses no clock and
// no goroutine. A decision is recorded before it is acted upon: a placement first
// becomes a record, and the order to start follows once the record is in the
// store; an end is acknowledged to its worker once it is recorded. So the next
// coordinator knows of every run that may exist. It fences the workers with its
// term, asks each for its runs, and goes on from there.
//
// A run counts as over when its worker has listed its end, no longer lists it
// after the run was stopped, has begun a new lifetime, or has certainly outlived
// its lease.
package coordinator
