// Package upstream is the seam to the workers that run tasks.
//
// A Worker is a struct of functions. NewClient fills it with calls over the
// network and Register serves any implementation.
//
// A worker is the arbiter over its own slots and tasks. It runs a task only
// under a lease; when nobody renews the lease it saves a checkpoint and stops
// the task. Stop and a fencing Await leave a tombstone for a task that the
// worker has never seen, so that a late start cannot run it: the answer
// NeverStarted is final. A call that fails with fault.Refused had no effect.
package upstream
