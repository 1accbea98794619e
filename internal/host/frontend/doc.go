// Package frontend implements one entry host on the users' platform: it answers
// callers, follows the configuration and the state of all jobs in the platform's
// store, and acquires the coordinator's role when no host holds it.
//
// A host keeps nothing of its own. What it knows it reads from the store, and each
// answer depends on how old that knowledge is: a key counts only while the
// configuration was proved recently, and a job is unknown only to a host that has
// read up to the end. Ages are measured on a clock that counts the time while the
// host was frozen.
package frontend
