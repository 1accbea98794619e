// Package upstream is the interface to the workers that run tasks.
//
// A Worker is a struct of functions. NewClient returns one whose functions make
// calls over the network; Register serves any implementation.
//
// A worker has the final decision over its own slots and tasks. It runs a task
// only under a lease; when the lease is not renewed, it saves a checkpoint and
// stops the task. Stop, and Await with Fence, leave a tombstone for a task that
// the worker has never seen, so that a delayed start cannot run it: the outcome
// NeverStarted is final. A call that fails with fault.Refused had no effect.
package upstream
