// Package entry runs an entry host: it feeds events to the state machine of
// package dispatch, executes the effects that the state machine returns over the
// network, and serves the HTTP API for callers and operators.
//
// A Host receives its dependencies (the log, the list of hosts, and the clients
// for workers and peers) as functions, so that a test can run it against fakes
// in one process and in virtual time. Run blocks until its context ends or a
// drain has finished; every goroutine that it started has ended by then.
package entry
