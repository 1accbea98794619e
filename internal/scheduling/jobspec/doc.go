// Package jobspec defines jobs of several steps as plain data: the request of the
// caller, the progress of the job, and the compact encoding of both.
//
// A job consists of steps, and a step of identical tasks. A step starts once every
// task of the steps listed in its After is done. A repeated job runs its steps once
// per occurrence. Times are in milliseconds.
package jobspec
