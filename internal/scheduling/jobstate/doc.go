// Package jobstate defines the replicated state of all jobs.
//
// The state is a set of records by key in one partition of the store, which keeps the
// newest record of each key. A host reads the newest records once and follows the
// partition from there, so that no snapshots are needed. Any host may write the
// acceptance and the cancellation of a job, and the exit of a coordinator's process.
// Only the coordinator writes the progress of a job and its own claim to the role. The
// store rejects a coordinator's record once a later coordinator has claimed the role, so
// the newest record of a key is always the valid one.
package jobstate
