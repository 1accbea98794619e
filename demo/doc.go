// Package demo runs a short scenario of both users' jobs in one process, on
// loopback: simulated platform services and workers, and real entry hosts between
// them. A worker, the log and an entry host fail or stop while they are in use.
//
// Run prints progress and tables, and checks the outcomes reported to callers
// against the histories of the workers.
package demo
