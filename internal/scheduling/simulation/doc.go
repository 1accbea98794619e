// Package simulation runs the coordinator against emulated workers and an emulated
// store in virtual time.
//
// A World has a set of workers that keep leases, tokens, tombstones and gangs as the
// real ones do, a load of jobs, and faults: orders that are carried out late, workers
// that fail, hang, crash or are cut off, a store that is down, and coordinators that
// die or are replaced while they still act. While it runs it notes every promise that
// is broken. The same Plan and seed play the same way.
package simulation
