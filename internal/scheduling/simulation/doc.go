// Package simulation runs the coordinator against simulated workers and a simulated store
// in virtual time.
//
// A Cluster has workers that implement leases, fencing tokens, tombstones and gangs as the
// real ones do, a workload of jobs, and faults: orders that are executed late, workers
// that fail, hang, crash, restart as the same instance or are partitioned from the network
// in one or both directions, entries that expire, a store that is down, and coordinators
// that die, are suspended or are replaced while still active. The Cluster records every
// violation of the scheduler's invariants. It is deterministic: runs of the same Scenario
// are identical.
package simulation
