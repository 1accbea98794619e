// Package entry drives one entry host: it feeds events to the reducer of
// package dispatch and carries out its effects over the network.
//
// A Host is given its seams as functions (the log, the list of hosts, and how
// to reach workers and peers), so that a test runs it against fakes in one
// process and under virtual time. Run blocks until its context ends or a drain
// has finished; every goroutine that it starts has ended by then.
package entry
