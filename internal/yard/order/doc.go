// Package order holds jobs of several steps as plain data: what a caller asked
// for, how far it has come, and the compact encoding of both.
//
// A job consists of steps, a step of equal tasks. A step with After waits until
// every task of the steps named there is done. A repeated job runs its steps
// once per occurrence. Times are in milliseconds.
package order
