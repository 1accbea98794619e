// Package jobspec holds jobs of several steps as plain data: what a caller
// requested, the progress of the job, and the compact encoding of both.
//
// A job consists of steps, a step of equal tasks. A step with After waits until
// every task of the steps named there is done. A repeated job runs its steps
// once per occurrence. Times are in milliseconds.
package jobspec
