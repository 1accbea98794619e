// Package demo plays a small day of both users in one process: the platform
// and the workers as stand-ins on loopback, entry hosts in between, and
// failures at the worst moments.
//
// Run prints progress and a table, and checks what the callers were told
// against the workers' own histories.
package demo
