// Package dispatch implements the state machine of an entry host: it admits
// jobs, places them on workers and monitors them until they end.
//
// State.Apply processes one event and returns effects as data. It reads no
// clock and starts no goroutine: every event carries the time, and a driver
// (package entry) executes the effects and feeds each result back as an event,
// also when the result is unknown. Records from the log are applied to the
// embedded ledger, so all hosts agree on what the log decides. Everything else
// in State is local to this host and is lost when the process ends.
//
// The host that holds the placer role of its data centre places jobs and
// controls their attempts: it reserves all members of a gang, starts them,
// monitors them by heartbeats and stops the rest when one is lost. Having a
// single placer improves the decisions, but safety does not depend on it: the
// log accepts a placement under one term only, and a worker never starts a task
// that has been stopped.
//
// Small requests, which are short and repeatable, bypass the log and the
// placer: any host sends them straight to a worker.
package dispatch
