// Package frontend implements one entry host on the users' platform: it answers
// callers, follows the configuration and the state of all jobs in the platform's
// store, and acquires the coordinator's role when no other host holds it.
//
// A host has no durable state of its own; it works on copies of what the store holds.
// Which responses it may give depends on the age of these copies: an API key is
// accepted only while the configuration was recently verified to be current, and a job
// is reported as unknown only by a host that has recently read up to the end of the
// partition. Ages are measured on a clock that keeps counting while the host is
// suspended.
//
// Who may use a job is decided by the queue that accepted it and by its owner, not by the
// path of the request; see queueconfig.Configuration.MayUse.
//
// Command `limpetrelay front` runs this host. Package entry has the host that
// `limpetrelay serve` runs, which uses the log of package logservice instead of the
// keyed store.
package frontend
