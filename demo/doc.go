// Package demo runs a small day of both users in one process: simulated platform
// services and workers, and real entry hosts between them, on loopback. Workers,
// the log and an entry host fail or stop while they are in use.
//
// Run prints progress and tables, and checks the outcomes reported to callers
// against the histories of the workers.
package demo
