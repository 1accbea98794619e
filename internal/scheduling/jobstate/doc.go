// Package jobstate holds the replicated state of all jobs.
//
// The state is a set of records by key in one partition of the store, which
// keeps the newest record of each key. A host reads the newest records once and
// follows the partition from there, so that no snapshots are needed. There are
// four kinds of records: an accepted job and a cancellation, which any host may
// write, and a job's progress and the coordinator's claim, which only the
// coordinator writes. The store refuses a coordinator's record once a later one
// has claimed the role, so the newest record of a key is always the valid one.
package jobstate
